"""Nodes that are cut from all endpoints, which their callers and the other nodes still reach."""

import dataclasses
import http.client
import os
import threading
import time

import pytest

from lynxlanding_bench import processes
from tests import cut_checker, site_installation

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


class Installation(site_installation.SiteInstallation):
    """The site, its nodes, and some callers for each node."""

    def __init__(self, running):
        super().__init__(running, ENGINES, PLAIN, HEARTBEAT_S, NODES, has_own_hosts=True)
        self._interval_s = len(NODES) * CALLERS_PER_NODE / REQUESTS_PER_S
        self._stop = threading.Event()
        self._callers = []
        self.responses = []

    def start_callers(self):
        for name in self.nodes:
            for number in range(CALLERS_PER_NODE):
                caller = threading.Thread(target=self._call_in_a_loop, args=(name, number))
                caller.start()
                self._callers.append(caller)

    def stop(self):
        self._stop.set()
        for caller in self._callers:
            caller.join()

    def runs(self):
        """Return the endpoints that have run each request."""
        found = {}
        for event, request_id, endpoint_id, _ in self.control()["history"]:
            if event == "run":
                found.setdefault(request_id, []).append(endpoint_id)
        return found

    def _call_in_a_loop(self, name, number):
        time.sleep(self._interval_s * number / CALLERS_PER_NODE)
        count = number
        while not self._stop.is_set():
            count += 1
            started_at = time.monotonic()
            kind = KINDS[count % len(KINDS)]
            self.responses.append(self._call(name, f"{name}-{number}-{count}", kind))
            self._stop.wait(max(0.0, self._interval_s - (time.monotonic() - started_at)))

    def _call(self, name, request_id, kind):
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[name][0], timeout=5)
        headers = {**site_installation.CALLER_HEADERS, "X-Request-Id": request_id}
        status = 0
        is_whole = False
        try:
            if kind == "stream":
                headers.update({"X-Model": "small", "X-Token-Counts": "700,60"})
                connection.request("POST", "/chat/x", b"prompt", headers)
            elif kind == "unsafe":
                connection.request("POST", "/book/x", b"booking", headers)
            else:
                connection.request("GET", "/look/x", headers=headers)
            response = connection.getresponse()
            status = response.status
            body = response.read()
            is_whole = status == 200 and response.headers["X-Response-Seal"] == "seal"
            if kind == "stream":
                is_whole = is_whole and body.count(b"\n\n") == EVENTS
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            connection.close()
        duration_s = time.monotonic() - sent_at
        return Response(sent_at, duration_s, name, request_id, kind, status, is_whole)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("cut")) as running:
        installation = Installation(running)
        installation.wait_ready()

        def count_heads():
            groups = [item for item in installation.control()["groups"] if item["state"] == "open"]
            return len({item["members"][0] for item in groups if len(item["members"]) == 2})

        site_installation.wait_for(lambda: count_heads() >= 4, "groups are open")
        # Surplus groups have retired by then.
        time.sleep(3.0)
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
