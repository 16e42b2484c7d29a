#!/bin/bash
# Builds what the scripts of the cases start. The stand-ins are plain Python of the standard
# library, so that only their syntax is checked; the nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
test -d target/deps
