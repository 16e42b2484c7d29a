"""Endpoints that reject requests and say for how long: nodes as processes, under requests."""

import dataclasses
import itertools
import os
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, rejection_checker

# More nodes than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_REJECTION_TEST_NODES", "6"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENDPOINTS = 4
ENGINES = 20
HEARTBEAT_S = 1.2
CALLS_PER_S = 60.0
STREAMS_PER_S = 12.0
EVENTS = 12
BEFORE_S = 2.0
OBSERVED_S = 9.0
RETRY_AFTER_S = 4.0
# Time in which all other endpoints reject requests.
ALONE_S = 2.5
# Requests are refused at once.
REFUSAL_LIMIT_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; time in monotonic seconds."""

    sent_at: float
    node: str
    status: int
    is_whole: bool
    retry_after: str | None


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of the plain service and of streams."""

    def __init__(self, running):
        super().__init__(running, ENGINES, ENDPOINTS, HEARTBEAT_S, NODES)
        self._numbers = itertools.count()
        self.responses = []

    def start_callers(self):
        self.start_caller_at_each_node(self._call, CALLS_PER_S)
        self.start_caller_at_each_node(self._stream, STREAMS_PER_S)

    def reject(self, endpoint_ids, retry_after_s):
        """Let endpoints reject all requests, or none; return the site's time."""
        value = None if retry_after_s is None else str(retry_after_s)
        return self.control(rejecting=dict.fromkeys(endpoint_ids, value))["time"]

    def arrivals(self, since):
        """Return the requests that have reached endpoints."""
        found = []
        for event, request_id, endpoint_id, at in self.control()["history"]:
            if at < since or event not in ("run", "reject") or not request_id:
                continue
            retry_after_s = RETRY_AFTER_S if event == "reject" else None
            node = request_id.partition("-")[0]
            found.append(rejection_checker.Arrival(at, node, endpoint_id, retry_after_s))
        return found

    def check(self, since):
        """Fail if endpoints got more requests than they have said they want."""
        arrivals = self.arrivals(since)
        worst = rejection_checker.worst_count(arrivals)
        rejected = [item for item in arrivals if item.retry_after_s is not None]
        sent = [item for item in self.responses if item.sent_at > since]
        print(
            f"{len(rejected)} requests rejected, at most {worst} in a time stated to a node; "
            f"{sum(not item.is_whole for item in sent)} of {len(sent)} not served"
        )
        assert rejected, "no request has reached an endpoint that rejects"
        assert worst <= rejection_checker.ALLOWED

    def plain_endpoints(self):
        return [f"i-{ENGINES + number:03d}" for number in range(ENDPOINTS)]

    def others_than(self, endpoint_id):
        """Return the endpoints that could serve what an endpoint serves."""
        plain = self.plain_endpoints()
        if endpoint_id in plain:
            return [item for item in plain if item != endpoint_id]
        heads = {item["members"][0] for item in self.control()["groups"]}
        return sorted(heads - {endpoint_id})

    def _call(self, node):
        request_id = f"{node}-call-{next(self._numbers)}"
        sent_at = time.monotonic()
        status, headers, _ = self.send(node, "GET", "/look/x", request_id)
        retry_after = headers.get("Retry-After")
        self.responses.append(Response(sent_at, node, status, status == 200, retry_after))

    def _stream(self, node):
        request_id = f"{node}-stream-{next(self._numbers)}"
        sent_at = time.monotonic()
        status, is_whole = self.stream(node, request_id, EVENTS)
        self.responses.append(Response(sent_at, node, status, is_whole, None))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("rejections")) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        installation.start_callers()
        time.sleep(BEFORE_S)
        yield installation
        installation.stop()


@pytest.mark.parametrize("kind", ["plain endpoint", "head"])
def test_endpoint_that_rejects_for_a_time_is_left_alone(site, kind):
    """Guards against nodes that ask an endpoint again before it wants to be asked.

    The other endpoints have room, so all callers are served.
    """
    endpoint_id = (
        site.plain_endpoints()[0] if kind == "plain endpoint" else site.most_used("-stream-")
    )
    since = site.reject([endpoint_id], RETRY_AFTER_S)
    time.sleep(OBSERVED_S)
    ended_at = site.reject([endpoint_id], None)
    site.check(since)
    assert [item for item in site.responses if item.sent_at > since and not item.is_whole] == []
    time.sleep(max(0.0, ended_at + RETRY_AFTER_S + 0.5 - time.monotonic()))
    # Others may be as good, so only without them the endpoint has to be used.
    others = site.others_than(endpoint_id)
    alone_at = site.reject(others, ALONE_S)
    time.sleep(ALONE_S)
    site.reject(others, None)
    time.sleep(ALONE_S + 0.5)
    runs = [item for item in site.arrivals(alone_at) if item.endpoint_id == endpoint_id]
    assert runs, "the endpoint is not used again"


def test_requests_that_every_endpoint_rejects_are_refused_at_once(site):
    """Guards against requests that wait, and callers that are told to come back too soon."""
    since = site.reject(site.plain_endpoints(), RETRY_AFTER_S)
    time.sleep(RETRY_AFTER_S - 0.5)
    ended_at = site.reject(site.plain_endpoints(), None)
    # Each node leaves each endpoint alone until the time that it was told is over.
    time.sleep(RETRY_AFTER_S + 0.5)
    site.check(since)
    served_again_at = ended_at + RETRY_AFTER_S
    calls = [item for item in site.responses if since < item.sent_at < served_again_at]
    refused = [item for item in calls if not item.is_whole]
    assert {item.status for item in refused} == {503}
    durations_s = site.finished_durations_s("every endpoint rejects requests")
    assert 0.0 < max(durations_s) < REFUSAL_LIMIT_S
    # Before that, the rejections last longer than the callers can wait, so they get a short time.
    early = [item for item in refused if since + 1.0 < item.sent_at < since + 2.0]
    hints = [float(item.retry_after) for item in early]
    print(f"Retry-After {min(hints)} to {max(hints)} s, 1 to 2 s after the first rejections")
    assert min(hints) > 0.5
    late = [item for item in site.responses if item.sent_at > served_again_at and not item.is_whole]
    assert late == []
