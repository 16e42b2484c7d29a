"""Nodes that are cut from all endpoints, which their callers and the other nodes still reach."""

import dataclasses
import itertools
import os
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, cut_checker

# More nodes than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_CUT_TEST_NODES", "9"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENGINES = 24
PLAIN = 3
HEARTBEAT_S = 1.2
CALLERS_PER_NODE = 4
REQUESTS_PER_S = 45.0
OBSERVED_BEFORE_S = 4.0
CUT_S = 9.0
EVENTS = 12
# Kinds of requests in turn: half streams, a quarter each that may and may not run twice.
KINDS = ("stream", "safe", "stream", "unsafe")


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; times in monotonic seconds."""

    sent_at: float
    duration_s: float
    node: str
    request_id: str
    kind: str
    status: int
    is_whole: bool


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and some callers for each node."""

    def __init__(self, running):
        super().__init__(running, ENGINES, PLAIN, HEARTBEAT_S, NODES, has_own_hosts=True)
        self._numbers = itertools.count()
        self.responses = []

    def start_callers(self):
        interval_s = len(NODES) * CALLERS_PER_NODE / REQUESTS_PER_S
        for name in self.nodes:
            for number in range(CALLERS_PER_NODE):
                delay_s = interval_s * number / CALLERS_PER_NODE
                self.start_caller(lambda name=name: self._call(name), interval_s, delay_s)

    def runs(self):
        """Return the endpoints that have run each request."""
        found = {}
        for event, request_id, endpoint_id, _ in self.control()["history"]:
            if event == "run":
                found.setdefault(request_id, []).append(endpoint_id)
        return found

    def _call(self, node):
        count = next(self._numbers)
        request_id = f"{node}-{count}"
        kind = KINDS[count % len(KINDS)]
        sent_at = time.monotonic()
        if kind == "stream":
            status, is_whole = self.stream(node, request_id, EVENTS)
        else:
            line = ("POST", "/book/x") if kind == "unsafe" else ("GET", "/look/x")
            body = b"booking" if kind == "unsafe" else None
            status, headers, _ = self.send(node, *line, request_id, body)
            is_whole = status == 200 and headers["X-Response-Seal"] == "seal"
        duration_s = time.monotonic() - sent_at
        self.responses.append(
            Response(sent_at, duration_s, node, request_id, kind, status, is_whole)
        )


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("cut")) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        installation.restart_nodes()
        installation.start_callers()
        time.sleep(OBSERVED_BEFORE_S)
        yield installation
        installation.stop()


# Most of the nodes, a third, and one; what becomes of their connections to endpoints.
CUTS = [
    (NODE_COUNT * 2 // 3, "hang"),
    (NODE_COUNT // 3, "reset"),
    (1, "refuse_new"),
    (1, "hang"),
]


@pytest.mark.parametrize(("count", "mode"), CUTS, ids=[f"{n}-{mode}" for n, mode in CUTS])
def test_callers_of_nodes_that_are_cut_from_endpoints_are_served(site, count, mode):
    """Guards against nodes that refuse what other nodes could serve.

    Pattern: the users' incident, in which nodes cut from all engines served 14 of 183 callers.
    """
    cut = NODES[:count]
    groups_before = {item["name"] for item in site.control()["groups"]}
    begun_at = site.control(cut={site.hosts[name]: mode for name in cut})["time"]
    time.sleep(CUT_S)
    ended_at = site.control(uncut=[site.hosts[name] for name in cut])["time"]
    time.sleep(3.0)
    since = begun_at + cut_checker.STABLE_S
    at_cut = cut_checker.count_served(site.responses, cut, since, ended_at)
    others = [name for name in NODES if name not in cut]
    at_others = cut_checker.count_served(site.responses, others, since, ended_at)
    early = cut_checker.count_served(site.responses, cut, begun_at, since)
    after = cut_checker.count_served(site.responses, NODES, ended_at + 1.0, ended_at + 3.0)
    slowest_s = max(
        (item.duration_s for item in site.responses if since <= item.sent_at < ended_at), default=0
    )
    print(
        f"{count} of {len(NODES)} nodes, {mode}: served {at_cut[0]} of {at_cut[1]} at them (others"
        f" {at_others[0]} of {at_others[1]}), {early[0]} of {early[1]} in the first"
        f" {cut_checker.STABLE_S:.0f} s, all nodes {after[0]} of {after[1]} afterwards; slowest"
        f" {slowest_s:.2f} s"
    )
    assert not cut_checker.is_broken(at_cut, at_others)
    runs = site.runs()
    for response in site.responses:
        if response.kind == "unsafe":
            ran = runs.get(response.request_id, [])
            assert len(ran) <= 1, response
            assert response.status != 503 or not ran, response
    groups_after = {item["name"] for item in site.control()["groups"]}
    assert groups_before == groups_after, "groups were given up because of the cut"
