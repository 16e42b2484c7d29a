#!/bin/bash
# Builds what the scripts of review/6 to review/10 start. The stand-ins need only the standard
# library, so that they are compiled, and the deploy file's build provides the nodes' packages.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/common/*.py review/tools-2/*.py review/*/case.py review/lesser/*/case.py review/6/*.py
