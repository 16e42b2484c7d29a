"""Data centres that are evacuated under load: nodes as processes."""

import dataclasses
import http.client
import itertools
import os
import time

import pytest

from lynxlanding.peers import feed_roles
from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, evacuation_checker

# More nodes than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_EVACUATION_TEST_NODES", "5"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENGINES = 20
PLAIN = 4
HEARTBEAT_S = 1.2
CALLS_PER_S = 20.0
STREAMS_PER_S = 12.0
EVENTS = 12
BEFORE_S = 2.0
OBSERVED_S = 4.0
SECOND_OBSERVED_S = 2.0
# Time after the end of the evacuation in which the data centre serves again.
RETURN_S = 4.0
# The store refuses this node from before the evacuation until after its end.
CUT_NODE = "n1"
# The other nodes are told by it; its watches go silent before the second evacuation.
RELAY = feed_roles.choose_relay("n0", list(NODES))
# This node starts again during the evacuation.
RESTARTED_NODE = "n2"


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; time in monotonic seconds."""

    sent_at: float
    node: str
    is_whole: bool


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of the plain service and of streams."""

    def __init__(self, running):
        super().__init__(
            running,
            ENGINES,
            PLAIN,
            HEARTBEAT_S,
            NODES,
            has_own_hosts=True,
            site_options=["--zonal-domains"],
            evacuate_ms=1000 * evacuation_checker.BOUND_S,
        )
        self._numbers = itertools.count()
        self.responses = {}

    def start_callers(self):
        self.start_caller_at_each_node(self._call, CALLS_PER_S)
        self.start_caller_at_each_node(self._stream, STREAMS_PER_S)

    def zone_a(self):
        """Return the ids of the endpoints in the first zone."""
        engines = [f"i-{number:03d}" for number in range(ENGINES // 2)]
        return engines + [f"i-{number:03d}" for number in range(ENGINES, ENGINES + PLAIN, 2)]

    def zone_b(self):
        """Return the ids of the endpoints in the other zone."""
        names = {f"i-{number:03d}" for number in range(ENGINES + PLAIN)}
        return sorted(names.difference(self.zone_a()))

    def runs(self):
        """Return the requests that endpoints have run, with the node that each was sent to."""
        found = []
        for kind, request_id, endpoint_id, at in self.control()["history"]:
            if kind == "run":
                node = request_id.partition("-")[0]
                found.append(evacuation_checker.Arrival(at, node, endpoint_id))
        return found

    def read_gauge(self, node, name):
        connection = http.client.HTTPConnection("127.0.0.1", self.nodes[node][2], timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        for line in text.splitlines():
            if line.startswith(name):
                return float(line.rsplit(" ", 1)[1])
        return None

    def lines(self, node, message_type):
        path = self.running.directory / f"{node}.log"
        return [line for line in path.read_text().splitlines() if f'"{message_type}"' in line]

    def _call(self, node):
        request_id = f"{node}-plain-{next(self._numbers)}"
        sent_at = time.monotonic()
        status, headers, _ = self.send(node, "GET", "/look/x", request_id)
        is_whole = status == 200 and headers["X-Response-Seal"] == "seal"
        self.responses[request_id] = Response(sent_at, node, is_whole)

    def _stream(self, node):
        request_id = f"{node}-stream-{next(self._numbers)}"
        sent_at = time.monotonic()
        _, is_whole = self.stream(node, request_id, EVENTS)
        self.responses[request_id] = Response(sent_at, node, is_whole)


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """Play one evacuation; return the installation and the times of its steps."""
    with processes.Processes(tmp_path_factory.mktemp("evacuation")) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        installation.restart_nodes()
        installation.start_callers()
        try:
            times = _play(installation)
        finally:
            installation.stop()
        yield installation, times


def _play(installation):
    times = {}
    cut_host = installation.hosts[CUT_NODE]
    time.sleep(BEFORE_S)
    installation.control(refuse_store=[cut_host])
    time.sleep(1.0)
    times["begun_at"] = time.monotonic()
    installation.control(evacuate=installation.zone_a()[:1])
    time.sleep(evacuation_checker.BOUND_S)
    times["gauges"] = _read_gauges(installation)
    installation.running.kill(RESTARTED_NODE)
    installation.running.restart(RESTARTED_NODE)
    time.sleep(OBSERVED_S)
    times["ended_at"] = time.monotonic()
    installation.control(end_evacuation=installation.zone_a()[:1])
    time.sleep(RETURN_S)
    installation.control(serve_store=[cut_host])
    times["stopped_at"] = time.monotonic()
    times["gauges_after"] = _read_gauges(installation)
    time.sleep(1.0)
    relay_host = installation.hosts[RELAY]
    installation.control(silent_watches=[relay_host])
    times["second_begun_at"] = time.monotonic()
    installation.control(evacuate=installation.zone_b()[:1])
    time.sleep(evacuation_checker.BOUND_S)
    times["second_gauges"] = _read_gauges(installation)
    time.sleep(SECOND_OBSERVED_S)
    times["second_ended_at"] = time.monotonic()
    return times


def _read_gauges(installation):
    name = "lynxlanding_evacuated_data_centres"
    return [installation.read_gauge(node, name) for node in NODES]


def test_no_request_reaches_the_data_centre(played):
    """Guards against requests of nodes that read, are told, are cut off or have just started."""
    installation, times = played
    span = (times["begun_at"], times["ended_at"])
    late = evacuation_checker.late_arrivals(installation.runs(), installation.zone_a(), *span)
    assert late == []


def test_other_data_centre_serves_meanwhile(played):
    installation, times = played
    since = times["begun_at"] + evacuation_checker.BOUND_S
    counted = [
        item
        for item in installation.responses.values()
        if since <= item.sent_at < times["ended_at"] - 1.0 and item.node != RESTARTED_NODE
    ]
    assert len(counted) > 40
    assert sum(item.is_whole for item in counted) >= 0.9 * len(counted)


def test_data_centre_serves_again_afterwards(played):
    """Guards against an evacuation that outlives its object, and against dissolved groups."""
    installation, times = played
    zone_a = installation.zone_a()
    nodes = set()
    endpoints = set()
    for run in installation.runs():
        if run.endpoint_id in zone_a and times["ended_at"] < run.at < times["stopped_at"]:
            nodes.add(run.node)
            endpoints.add(run.endpoint_id)
    # The others are in the second zone, whose endpoints they prefer while these have room.
    assert nodes.issuperset(NODES[::2])
    assert endpoints.intersection(zone_a[: ENGINES // 2]), "its groups stand"
    assert times["gauges_after"] == [0.0] * len(NODES)


def test_operators_see_the_evacuation(played):
    installation, times = played
    assert times["gauges"] == [1.0] * len(NODES)
    for node in NODES:
        assert installation.lines(node, "lynxlanding:evacuation:began"), node
        assert installation.lines(node, "lynxlanding:evacuation:ended"), node


def test_no_request_comes_late_when_the_relay_no_longer_hears_the_store(played):
    """Guards against nodes that wait for a relay whose connection to the store is silent."""
    installation, times = played
    span = (times["second_begun_at"], times["second_ended_at"])
    late = evacuation_checker.late_arrivals(installation.runs(), installation.zone_b(), *span)
    assert late == []
    assert times["second_gauges"] == [1.0] * len(NODES)
