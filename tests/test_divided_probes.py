"""Probes that are divided among four nodes, in separate processes."""

import time

import pytest

from lynxlanding_bench import caller, group_fleet, processes, request_load

pytestmark = pytest.mark.multiprocess

EVIDENCE_BOUND_S = 3.0
SERVED_WITHIN_S = 10.0


@pytest.fixture
def running(tmp_path):
    with processes.Processes(tmp_path) as started:
        yield started


def test_nodes_serve_when_a_prober_or_a_vm_vanishes(running):
    """Guards against a group that stops with the node that probed it, or serves without a VM."""
    installation = group_fleet.GroupFleet(running, vms=6, daemons=4)
    installation.start()
    (formed,) = installation.wait_for_groups().values()
    callers = installation.callers()
    for client in callers:
        _wait_until_served(client)
    callers = callers[1:]
    with request_load.RequestLoad(callers) as load:
        time.sleep(3.0)
        running.kill("node-0")
        time.sleep(6.0)
        refused = [result for _, result in load.seen if result != caller.WHOLE]
        assert load.seen and refused == []
        lost = [vm for vm in formed["vms"] if vm != formed["leader"]][0]
        running.kill(lost)
        killed_at = time.time()
        installation.wait_for_groups(epoch=formed["epoch"] + 1)
        for client in callers:
            _wait_until_served(client)
    late = []
    for record in installation.read_history():
        if record["event"] != "generate" or record["epoch"] != formed["epoch"]:
            continue
        if record["time"] > killed_at + EVIDENCE_BOUND_S:
            late.append(record["time"] - killed_at)
    assert late == []


def _wait_until_served(client):
    deadline = time.monotonic() + SERVED_WITHIN_S
    while time.monotonic() < deadline:
        if client.stream("probe", 2).result == caller.WHOLE:
            return
        time.sleep(0.1)
    raise TimeoutError("no whole response")
