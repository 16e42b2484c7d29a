import subprocess
import sys

from lynxlanding_bench import processes


def test_reserved_ports_are_not_given_twice():
    """Guards against two runs on one machine whose daemons fail with 'address already in use'."""
    own = [set(processes.free_ports(64)) for _ in range(4)]
    code = (
        "from lynxlanding_bench import processes\n"
        "for _ in range(60): print(*processes.free_ports(64))"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    for line in output.splitlines():
        other = {int(port) for port in line.split()}
        for ports in own:
            assert not ports & other
