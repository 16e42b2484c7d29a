"""Entries of another writer among those of the endpoints: nodes as processes, under calls."""

import collections
import functools
import itertools
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation

NODES = tuple(f"n{number}" for number in range(4))
# These start after the entries have been written.
LATER_NODES = NODES[2:]
ENGINES = 8
ENDPOINTS = 3
LEAVING = f"i-{ENGINES:03d}"
HEARTBEAT_S = 0.6
CALLS_PER_S = 40.0
# Nodes know of a leaving within this time of its acknowledgement.
LEAVING_BOUND_S = 2.0
# Field and JSON text, by the name of the entry.
ODD_ENTRIES = {
    "nested": ("extra", "[" * 100_000 + "]" * 100_000),
    "nested-group": ("group", "[" * 100_000 + "]" * 100_000),
    "digits": ("slots", "9" * 5000),
    "large": ("slots", "9" * 30),
    "infinite": ("born", "1e999"),
    "negative": ("born", "-5"),
    "port-99999": ("address", '"127.0.0.1:99999"'),
    "port-0": ("address", '"127.0.0.1:0"'),
    "port-digit": ("address", '"127.0.0.1:\\u00b2"'),
    "host": ("address", '"127.0.0.1\\r\\nX: y:80"'),
    "surrogate": ("zone", '"\\ud800"'),
    "no-text": ("zone", '"\udcff\udcfe"'),
    "split\r\nX-Tenant: other": ("zone", '"a"'),
}


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of the plain service."""

    def __init__(self, running):
        super().__init__(running, ENGINES, ENDPOINTS, HEARTBEAT_S, NODES)
        self._numbers = itertools.count()
        self.statuses = collections.Counter()

    def call(self, node):
        request_id = f"{node}-{next(self._numbers)}"
        status, _, _ = self.send(node, "GET", "/look/x", request_id)
        self.statuses[node, status] += 1


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = Installation(running)
        installation.wait_ready()
        yield installation
        installation.stop()


def test_nodes_follow_the_other_entries(site):
    """Guards against a list that is lost with one of its entries, by nodes old and new."""
    site.control(odd_entries=ODD_ENTRIES)
    for name in LATER_NODES:
        site.running.kill(name)
        site.running.restart(name)
    for name in NODES:
        site_installation.wait_for(lambda name=name: site.is_ready(name), f"{name} is ready", 10.0)
    site.start_caller_at_each_node(functools.partial(site.call), CALLS_PER_S)
    time.sleep(2.0)
    left_at = site.control(leaving=[LEAVING])["time"]
    time.sleep(LEAVING_BOUND_S + 2.0)
    site.stop()
    late = []
    for event, request_id, endpoint_id, at in site.control()["history"]:
        if event == "run" and endpoint_id == LEAVING and at > left_at + LEAVING_BOUND_S:
            late.append(request_id)
    assert late == []
    assert {status for _, status in site.statuses} == {200}, site.statuses
    assert {node for node, _ in site.statuses} == set(NODES)
    logs = [(site.running.directory / f"{name}.log").read_text() for name in NODES]
    assert any("lynxlanding:feed:followed" in log for log in logs), "nodes do not hear each other"
    for log in logs:
        assert "Traceback" not in log
