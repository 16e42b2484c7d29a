"""Signals that reach a node before it has installed its handlers."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

pytestmark = pytest.mark.multiprocess

PROGRAM = pathlib.Path(__file__).parents[1] / "src" / "lynxlanding_vm.py"
START_LIMIT_S = 30.0


def test_reload_signal_during_the_imports_does_not_end_a_node(tmp_path):
    """Guards against a node that ends by SIGHUP, whose default action is to end the process."""
    reached = tmp_path / "reached"
    os.mkfifo(reached)
    (tmp_path / "gevent").mkdir()
    # Stands in for the import that follows the early listener, and waits there for the signal.
    (tmp_path / "gevent" / "__init__.py").write_text(
        f"import sys, time\nopen({str(reached)!r}, 'w').close()\ntime.sleep(1.0)\nsys.exit(7)\n"
    )
    environment = dict(os.environ, PYTHONPATH=f"{tmp_path}{os.pathsep}{PROGRAM.parent}")
    environment.pop("LYNXLANDING_CONFIG", None)
    process = subprocess.Popen([sys.executable, str(PROGRAM)], env=environment)
    # Blocks until the process has opened the other end.
    reached.open().close()
    process.send_signal(signal.SIGHUP)
    assert process.wait(START_LIMIT_S) == 7
