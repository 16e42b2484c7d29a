"""Endpoints that say in their responses only that they are leaving: nodes as processes."""

import dataclasses
import itertools
import os
import time

import pytest

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, leaving_checker

# More nodes than in CI are for runs by hand.
NODE_COUNT = int(os.environ.get("LYNXLANDING_LEAVING_TEST_NODES", "6"))
NODES = tuple(f"n{number}" for number in range(NODE_COUNT))
ENDPOINTS = 4
ENGINES = 20
HEARTBEAT_S = 1.2
CALLS_PER_S = 30.0
STREAMS_PER_S = 12.0
EVENTS = 12
BEFORE_S = 2.0
OBSERVED_S = leaving_checker.DRAIN_S + 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """What a caller got; time in monotonic seconds."""

    sent_at: float
    node: str
    is_whole: bool
    is_told: bool


class Installation(calling_installation.CallingInstallation):
    """The site, its nodes, and callers of the plain service and of streams."""

    def __init__(self, running):
        super().__init__(running, ENGINES, ENDPOINTS, HEARTBEAT_S, NODES)
        self._numbers = itertools.count()
        self.responses = {}

    def start_callers(self):
        self.start_caller_at_each_node(self._call, CALLS_PER_S)
        self.start_caller_at_each_node(self._stream, STREAMS_PER_S)

    def attempts(self):
        """Return the ``Attempt``s of all requests whose response has arrived."""
        found = []
        for kind, request_id, endpoint_id, at in self.control()["history"]:
            response = self.responses.get(request_id)
            if kind != "run" or response is None:
                continue
            found.append(
                leaving_checker.Attempt(
                    response.sent_at, at, response.node, endpoint_id, response.is_told
                )
            )
        return found

    def check_leaving(self, endpoint_id, stated_at):
        """Fail if requests reach the endpoint later than the rule allows."""
        attempts = self.attempts()
        told_at = leaving_checker.first_told(attempts, endpoint_id)
        late = leaving_checker.late_attempts(attempts, endpoint_id)
        late_of_all = leaving_checker.late_attempts_of_all(attempts, endpoint_id)
        later_runs = [
            round(item.at - stated_at, 2)
            for item in attempts
            if item.endpoint_id == endpoint_id and item.at > stated_at
        ]
        failed = [item for item in self.responses.values() if not item.is_whole]
        print(
            f"told {len(told_at)} of {len(NODES)} nodes; runs {later_runs[:12]} s after the "
            f"statement, {len(later_runs)} in all; late {len(late)}, of all nodes "
            f"{len(late_of_all)}; failed {len(failed)} of {len(self.responses)}"
        )
        assert told_at, "no caller has been told"
        assert late == []
        assert late_of_all == [], "the other nodes were not told"
        assert failed == []

    def _call(self, node):
        request_id = f"call-{next(self._numbers)}"
        sent_at = time.monotonic()
        status, headers, _ = self.send(node, "GET", "/look/x", request_id)
        self._record(request_id, sent_at, node, status == 200, headers)

    def _stream(self, node):
        request_id = f"stream-{next(self._numbers)}"
        sent_at = time.monotonic()
        _, headers, is_whole = self.send_stream(node, request_id, EVENTS)
        self._record(request_id, sent_at, node, is_whole, headers)

    def _record(self, request_id, sent_at, node, is_whole, headers):
        is_told = headers.get("Server-Leaving") is not None
        self.responses[request_id] = Response(sent_at, node, is_whole, is_told)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("stated-leaving")) as running:
        installation = Installation(running)
        installation.wait_ready()
        installation.wait_for_small_groups(4)
        installation.start_callers()
        time.sleep(BEFORE_S)
        yield installation
        installation.stop()


@pytest.mark.parametrize("kind", ["call", "stream"])
def test_endpoint_that_states_its_leaving_gets_no_more_requests(site, kind):
    """Guards against nodes that know of a leaving from the store only.

    The engine is the head of a group; its streams end whole.
    """
    endpoint_id = site.most_used(kind)
    stated_at = site.control(states_leaving=[endpoint_id])["time"]
    time.sleep(OBSERVED_S)
    site.check_leaving(endpoint_id, stated_at)


def test_endpoint_that_has_restarted_is_used_again(site):
    """Guards against a statement that outlasts the incarnation that made it."""
    endpoint_id = site.most_used("call")
    site.control(states_leaving=[endpoint_id])
    time.sleep(leaving_checker.DRAIN_S)
    restarted_at = site.control(restart={endpoint_id: int(time.time() * 1000)})["time"]
    time.sleep(3.0 * HEARTBEAT_S)
    used_at = [item.at for item in site.attempts() if item.endpoint_id == endpoint_id]
    assert max(used_at) > restarted_at + 2.0 * HEARTBEAT_S
