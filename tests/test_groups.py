"""A replica group over several VMs in separate processes."""

import time

import pytest

from lynxlanding_bench import caller, fleet, group_fleet, processes, request_load

pytestmark = pytest.mark.multiprocess

EVIDENCE_BOUND_S = 3.0


@pytest.fixture
def running(tmp_path):
    with processes.Processes(tmp_path) as started:
        yield started


def test_group_that_lost_a_vm_gets_no_request_until_a_spare_repairs_it(running):
    """Guards against service by an incomplete group (G1) and against a group that stays down."""
    installation = group_fleet.GroupFleet(running)
    installation.start()
    (formed,) = installation.wait_for_groups().values()
    callers = installation.callers()
    _wait_until_served(callers)
    with request_load.RequestLoad(callers) as load:
        time.sleep(1.0)
        # The leader would still answer; only the evidence about its group keeps requests away.
        lost = [vm for vm in formed["vms"] if vm != formed["leader"]][0]
        running.kill(lost)
        killed_at = time.time()
        (repaired,) = installation.wait_for_groups(epoch=formed["epoch"] + 1).values()
        repaired_at = time.time()
        _wait_until_served(callers)

    assert lost not in repaired["vms"]
    assert repaired_at - killed_at < 15.0
    late = []
    for record in installation.read_history():
        if record["event"] != "generate" or record["epoch"] != formed["epoch"]:
            continue
        if record["time"] > killed_at + EVIDENCE_BOUND_S:
            late.append(record["time"] - killed_at)
    assert late == []
    assert {result for _, result in load.seen} <= {caller.WHOLE, caller.REFUSED}
    refused = [at - killed_at for at, result in load.seen if result == caller.REFUSED]
    assert min(refused) < EVIDENCE_BOUND_S


def test_leaving_vm_gets_no_request_while_the_store_is_unavailable(running):
    """Guards against a drain that depends on the store (G6) or cuts a request (G7).

    One node cannot reach the VM list either and depends on the notice of the other.
    """
    installation = group_fleet.GroupFleet(running, vms=4, group_vms=2, groups=2, blind_nodes=[1])
    installation.start()
    groups = installation.wait_for_groups()
    group = groups[sorted(groups)[0]]
    callers = installation.callers()
    _wait_until_served(callers)
    with request_load.RequestLoad(callers, tokens=40) as load:
        time.sleep(1.0)
        installation.set_store_faults(unavailable=True)
        # Not the leader: the group stops, although its address is not that of the leaving VM.
        leaving = [vm for vm in group["vms"] if vm != group["leader"]]
        installation.replace_vm_list(installation.vms(leaving))
        left_at = time.time()
        time.sleep(7.0)
    names = sorted(groups)
    by_group = dict.fromkeys(names, 0.0)
    for record in installation.read_history():
        if record["event"] == "generate":
            by_group[record["group"]] = max(by_group[record["group"]], record["time"] - left_at)
    assert by_group[names[0]] <= 5.0
    assert by_group[names[1]] > 5.0
    assert {result for _, result in load.seen} == {caller.WHOLE}


def test_version_change_cuts_no_stream_and_keeps_the_owed_groups(running):
    """Guards against a version change that loads before the drain or serves too little (G7)."""
    installation = group_fleet.GroupFleet(running, vms=6, group_vms=2, groups=2)
    installation.start()
    installation.wait_for_groups()
    callers = installation.callers()
    _wait_until_served(callers)
    lowest = 2
    with request_load.RequestLoad(callers, tokens=80) as load:
        installation.commit(
            {
                f"models/{fleet.MODEL}": {"version": "v2", "vms_per_replica": 2},
                "versions/v2": {"model": fleet.MODEL, "weights": "desk/v2"},
            }
        )
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            groups = installation.groups().values()
            ready = [group["version"] for group in groups if group["state"] == "ready"]
            lowest = min(lowest, len(ready))
            if ready == ["v2", "v2"] and len(groups) == 2:
                break
            time.sleep(0.1)
    assert ready == ["v2", "v2"]
    # Every desired group is owed, so a third one serves while the others change.
    assert lowest == 2
    assert {result for _, result in load.seen} == {caller.WHOLE}


def _wait_until_served(callers):
    for client in callers:
        deadline = time.monotonic() + 15.0
        while client.stream("probe", 2).result != caller.WHOLE:
            assert time.monotonic() < deadline
            time.sleep(0.1)
