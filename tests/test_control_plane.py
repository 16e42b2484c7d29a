"""Configuration and membership of daemons in separate processes."""

import signal
import time

import numpy as np
import pytest
import urllib3

from lynxlanding.configuration import change, change_ids, commit, store_calls
from lynxlanding.store import http_store
from lynxlanding_bench import fleet, processes

pytestmark = pytest.mark.multiprocess

DAEMONS = 3
UNCERTAIN_AFTER_S = 6.0
POOL = urllib3.PoolManager()


@pytest.fixture
def control_fleet(tmp_path):
    """Three daemons in three data centres, with a short ``uncertain_after_s``."""
    with processes.Processes(tmp_path) as running:
        started = fleet.Fleet(
            running,
            daemons=DAEMONS,
            engines=1,
            configuration_settings={"uncertain_after_s": UNCERTAIN_AFTER_S},
        )
        started.start()
        yield running, started


def _status(started, index):
    response = POOL.request("GET", started.peer_url(index) + "/peer/v1/status", timeout=3.0)
    return response.json()


def _wait(predicate, timeout_s):
    """Return the seconds until the predicate holds."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        if predicate():
            return time.monotonic() - started_at
        time.sleep(0.05)
    raise AssertionError(f"condition did not hold within {timeout_s} s")


def _commit(started, name):
    store = http_store.HttpObjectStore(started.object_api, urllib3.PoolManager())
    puts = {("workspaces", name): {"token_sha256": [f"{sum(name.encode()):064x}"]}}
    now = time.time()
    change_id = change_ids.generate(now, np.random.default_rng(1))
    submitted = change.Change(change_id, "asha", puts)
    return store_calls.run(commit.commit(submitted, now), store).revision


def _revisions(started, indices=range(DAEMONS)):
    return [_status(started, index)["configuration"]["revision"] for index in indices]


def _states(started, indices=range(DAEMONS)):
    return [_status(started, index)["configuration"]["state"] for index in indices]


def test_change_is_in_effect_everywhere(control_fleet):
    """Guards G8 and the target of 3 s on an ordinary run, and against a split node list."""
    _, started = control_fleet
    _wait(lambda: all(len(_status(started, i)["members"]) == DAEMONS for i in range(DAEMONS)), 10)
    revision = _commit(started, "mombasa")
    _wait(lambda: _revisions(started) == [revision] * DAEMONS, 3)
    page = POOL.request("GET", started.daemon_url(0) + "/metrics").data.decode()
    assert "lynxlanding_members{" in page
    assert "lynxlanding_configuration_confirmed_age_seconds{" in page


def test_store_outage_leaves_nodes_serving_but_uncertain(control_fleet):
    """Guards against an outage that stops nodes, or that nodes do not report.

    A daemon that starts during the outage takes the configuration from its peers, and a daemon
    that was paused does not bring its old state back.
    """
    running, started = control_fleet
    _wait(lambda: all(len(_status(started, i)["members"]) == DAEMONS for i in range(DAEMONS)), 10)
    _wait(lambda: _states(started) == ["certain"] * DAEMONS, 10)
    running.signal("node-1", signal.SIGSTOP)
    revision = _commit(started, "lamu")
    _wait(lambda: _revisions(started, (0, 2)) == [revision] * 2, 3)
    POOL.request("POST", started.object_api + "/faults", json={"unavailable": True})
    running.kill("node-2")
    started.restart_daemon(2)
    processes.wait_for(started.daemon_url(2) + "/readyz")
    running.signal("node-1", signal.SIGCONT)
    _wait(lambda: _revisions(started) == [revision] * DAEMONS, 13)
    _wait(lambda: _states(started) == ["uncertain"] * DAEMONS, UNCERTAIN_AFTER_S + 5)
    processes.wait_for(started.daemon_url(0) + "/readyz")
    POOL.request("POST", started.object_api + "/faults", json={"unavailable": False})
    _wait(lambda: _states(started) == ["certain"] * DAEMONS, 13)
