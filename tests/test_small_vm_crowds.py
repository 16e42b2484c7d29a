"""Crowds of 200 clients of a kind, at a node with the settings of the smallest VM."""

import os

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation
from tests import crowds

NODE = "n0"
MEMORY_MB = 152
DESCRIPTORS = 1535
SETTINGS = f"limits:\n  memory_mb: {MEMORY_MB}\n  max_fds: {DESCRIPTORS}\n"
CLIENTS = 200
CROWDS = {kind: {kind: CLIENTS} for kind in crowds.PARTS}
CROWDS["all kinds"] = dict.fromkeys(crowds.PARTS, CLIENTS)


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = calling_installation.CallingInstallation(
            running, 0, 3, 0.6, (NODE,), concurrency=400, node_settings=SETTINGS
        )
        installation.wait_ready()
        yield installation
        installation.stop()


@pytest.mark.parametrize("crowd", CROWDS)
def test_smallest_vm_outlives_a_crowd(site, crowd):
    """Guards against 200 clients of a kind that end a node on the smallest VM."""
    # A body as large as the limit is served in calm.
    body = b"x" * crowds.MEGABYTE
    assert site.send(NODE, "POST", "/look/x", "large", body)[0] == 200
    pid = site.running.pid(NODE)

    def is_answered():
        return site.send(NODE, "POST", "/book/x", "ordinary", b"b")[0] == 200

    with crowds.Crowd(site.nodes[NODE][0], CROWDS[crowd]):
        site_installation.wait_for(is_answered, "an ordinary request is answered")
        assert site.running.is_running(NODE)
        assert len(os.listdir(f"/proc/{pid}/fd")) <= DESCRIPTORS
        peak_mb = crowds.read_peak_mb(pid)
        print(f"peak of the node: {peak_mb:.0f} MB")
        assert peak_mb <= MEMORY_MB
