"""What operators see of a group that lost a VM, in separate processes."""

import json
import time

import pytest
import urllib3

from lynxlanding_bench import group_fleet, processes

pytestmark = pytest.mark.multiprocess

POOL = urllib3.PoolManager()


def _query(url, text):
    response = POOL.request(
        "POST", url + "/admin/v1/query", json={"text": text}, retries=False, timeout=10.0
    )
    assert response.status == 200, response.data
    return response.json()["results"][0]["rows"]


def _wait_for(url, text, timeout_s):
    deadline = time.monotonic() + timeout_s
    found = []
    while not found:
        assert time.monotonic() < deadline, f"no row within {timeout_s} s: {text}"
        time.sleep(0.1)
        found = _query(url, text)
    return found


def test_stranded_accelerators_are_shown_and_counted(tmp_path):
    """Guards against idle hardware that nobody notices: a group of 3 VMs without a spare."""
    with processes.Processes(tmp_path) as running:
        installation = group_fleet.GroupFleet(running, vms=3, group_vms=3)
        installation.start()
        (group,) = installation.wait_for_groups().values()
        url = installation.peer_url(0)
        _wait_for(url, "show group of groups where state = serving", 10)
        lost = [vm for vm in group["vms"] if vm != group["leader"]][0]
        running.kill(lost)
        columns = "place, vms_missing, accelerators, stranded_accelerators"
        text = f"show {columns} of stranded where stranded_accelerators = 16"
        (row,) = _wait_for(url, text, 10)
        assert row[0] == group_fleet.PLACE
        assert row[2] == 3 * group_fleet.ACCELERATORS
        assert _query(url, 'count serving where group != ""') == [[0]]
        time.sleep(5.0)
        report = POOL.request("GET", url + "/admin/v1/burn").json()
    counted = {(row["objective"], row["scope"]): row for row in report["rows"]}
    assert counted["group_downtime", "service"]["bad"] > 0
    assert counted["stranded", "place"]["name"] == group_fleet.PLACE
    assert counted["stranded", "place"]["bad"] > 0
    assert json.dumps(report)
