"""Requests that are handed over to scripted nodes."""

import dataclasses
import random
import time

import pytest

from lynxlanding.dispatch import forward_request, request_metadata, response_metadata
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import stream_aborted
from lynxlanding.handover import (
    handed_over_request,
    helper_choice,
    peer_forwarder,
    reachability,
)
from lynxlanding.platform import request_headers
from lynxlanding.traffic import route as traffic_route

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 5)]
HEADERS = [("Host", "h"), ("Authorization", "Bearer key"), ("X-Deadline-Ms", "6000")]


class FakeResponse:
    ends_with_connection = False

    def __init__(self, status, chunks, headers=()):
        self.status = status
        self.headers = list(headers)
        self.chunks = (chunk for chunk in chunks)

    def record_progress(self):
        pass


def sealed(status, chunks, request_id="q"):
    """Return what a helper passes on from an endpoint."""
    return FakeResponse(status, chunks), make_metadata(request_id, is_sealed=True)


def own(status, executed, retry_after=None):
    """Return a helper's own response."""
    headers = [("X-Executed", executed)] if executed else []
    if retry_after is not None:
        headers.append(("Retry-After", retry_after))
    metadata = request_headers.decode_response([("X-Request-Id", "q"), *headers])
    return FakeResponse(status, [b"{}"], headers), metadata


def make_metadata(request_id, is_sealed):
    return response_metadata.ResponseMetadata(
        request_id, is_sealed, False, None, False, False, None
    )


def broken_after(count):
    """Return the events of a helper that is gone after ``count`` of them."""
    yield from EVENTS[:count]
    raise endpoint_errors.ResponseTruncated("gone")


class ScriptedHelpers:
    """Stands in for the client: each call gets the next result of the script."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    def send(self, record, method, target, headers, body, attempt, **options):
        del method, target, body, attempt
        options["before_sending"]()
        self.calls.append((record.endpoint_id, dict(headers), options["fresh"]))
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class UnlimitedBudget:
    def try_acquire_retry(self, service, now):
        del service, now
        return dispatch_factories.CompletedFuture(True)


def make_peers(helpers, *script):
    state = reachability.Reachability(0.0)
    state.record_check(0, 4, 1.0)
    client = ScriptedHelpers(*script)
    known = [helper_choice.Helper(f"n{i}", f"127.0.0.1:{i + 1}", 0, 0.1) for i in range(helpers)]
    peers = peer_forwarder.PeerForwarder(
        "own", state, lambda: known, client, request_headers, UnlimitedBudget(), random.Random(1)
    )
    return peers, client


def make_request(kind=traffic_route.UNSAFE, has_caller_left=lambda: False, time_left_s=6.0):
    now = time.monotonic()
    return forward_request.ForwardRequest(
        metadata=request_metadata.RequestMetadata("q"),
        method="POST",
        target="/p/x",
        headers=HEADERS,
        body=b"b",
        route=dispatch_factories.make_route(kind),
        service="app",
        workspace="w",
        priority=1,
        urgency=None,
        work=dispatch_factories.make_query().work,
        received_at=now,
        caller_deadline=now + time_left_s,
        has_caller_left=has_caller_left,
    )


def forward(peers, request, may_have_run=0, resume_after=None):
    return peers.begin(request, may_have_run).forward(resume_after)


def test_response_of_an_endpoint_is_passed_on_as_it_is():
    peers, client = make_peers(3, sealed(200, [b"who", b"le"]))
    reply = forward(peers, make_request())
    assert (reply.status, reply.body) == (200, b"whole")
    _, headers, is_fresh = client.calls[0]
    assert headers["Authorization"] == "Bearer key"
    assert headers[handed_over_request.HANDED_OVER_BY] == "own"
    assert 5000 < int(headers["X-Deadline-Ms"]) < 6000
    assert "X-Expect-Instance" not in headers
    assert is_fresh, "a kept connection may close while the request is being sent"


def test_request_that_a_helper_refuses_goes_to_another_one():
    peers, client = make_peers(3, own(503, "no", "0.4"), sealed(200, [b"x"]))
    assert forward(peers, make_request()).status == 200
    assert len({node_id for node_id, _, _ in client.calls}) == 2


def test_refusal_of_all_helpers_is_a_refusal_with_the_earliest_time():
    peers, client = make_peers(3, own(503, "no", "0.9"), own(503, "no", "0.4"), own(429, "no"))
    with pytest.raises(request_errors.Overloaded) as refusal:
        forward(peers, make_request())
    assert refusal.value.executed == "no"
    assert refusal.value.retry_after_s == 0.4
    assert len(client.calls) == handed_over_request.MAX_HELPERS


def test_unsafe_request_is_not_sent_again_after_a_lost_answer():
    """Guards against a second run because the helper, and not an endpoint, was lost."""
    peers, client = make_peers(3, endpoint_errors.ConnectionBroken("gone"))
    with pytest.raises(request_errors.EndpointFailed) as failure:
        forward(peers, make_request())
    assert failure.value.executed == "unknown"
    assert len(client.calls) == 1


def test_helper_that_was_not_reached_cannot_have_run_it():
    refused = endpoint_errors.ConnectionRefused("refused")
    peers, client = make_peers(3, refused, sealed(200, [b"x"]))
    assert forward(peers, make_request()).status == 200
    peers, _ = make_peers(1, refused)
    with pytest.raises(request_errors.Overloaded) as refusal:
        forward(peers, make_request())
    assert refusal.value.executed == "no"


@pytest.mark.parametrize(
    ("response", "error_type"),
    [
        (own(502, "unknown"), request_errors.EndpointFailed),
        (own(504, "unknown"), request_errors.DeadlineExceeded),
        (own(500, "yes"), request_errors.EndpointFailed),
        (own(503, None), request_errors.EndpointFailed),
        (sealed(200, [b"x"], request_id="another"), request_errors.EndpointFailed),
    ],
)
def test_refusal_needs_the_statement_that_nothing_ran(response, error_type):
    """Guards against statuses that promise what only the helper can know."""
    peers, client = make_peers(3, response)
    with pytest.raises(error_type) as failure:
        forward(peers, make_request())
    assert failure.value.executed == "unknown"
    assert len(client.calls) == 1


def test_attempts_of_this_node_count_as_well():
    """Guards against a refusal after an attempt whose answer was lost in the cut."""
    peers, _ = make_peers(1, own(503, "no"))
    with pytest.raises(request_errors.EndpointFailed) as failure:
        forward(peers, make_request(traffic_route.SAFE), may_have_run=1)
    assert failure.value.executed == "unknown"


def test_stream_goes_on_at_another_helper_after_its_last_event():
    peers, client = make_peers(3, sealed(200, broken_after(2)), sealed(200, EVENTS[2:]))
    reply = forward(peers, make_request(traffic_route.STREAMING))
    assert b"".join(reply.stream) == b"".join(EVENTS)
    assert "Last-Event-Id" not in client.calls[0][1]
    assert client.calls[1][1]["Last-Event-Id"] == "2"
    reply.stream.close()
    assert peers._in_flight == {}


def test_stream_that_this_node_began_is_resumed_at_its_position():
    peers, client = make_peers(2, sealed(200, EVENTS[3:]))
    request = make_request(traffic_route.STREAMING)
    reply = forward(peers, request, may_have_run=1, resume_after=3)
    assert b"".join(reply.stream) == EVENTS[3]
    assert client.calls[0][1]["Last-Event-Id"] == "3"


def test_stream_that_no_helper_continues_is_aborted_between_events():
    """Guards against a broken stream that looks complete."""
    peers, _ = make_peers(1, sealed(200, broken_after(2)))
    reply = forward(peers, make_request(traffic_route.STREAMING))
    received = []
    with pytest.raises(stream_aborted.StreamAborted):
        received.extend(reply.stream)
    assert received == EVENTS[:2]
    assert peers._in_flight == {}


def test_nothing_is_tried_again_after_the_caller_has_left():
    peers, client = make_peers(3, endpoint_errors.AttemptTimedOut("caller left"))
    with pytest.raises(request_errors.CallerDisconnected):
        forward(peers, make_request(traffic_route.SAFE, has_caller_left=lambda: True))
    assert len(client.calls) == 1


def test_no_helper_is_tried_after_the_deadline():
    peers, client = make_peers(3, endpoint_errors.ConnectionRefused("refused"))
    with pytest.raises(request_errors.DeadlineExceeded):
        forward(peers, make_request(time_left_s=-0.1))
    assert len(client.calls) == 1


def test_requests_are_handed_over_only_while_cut_and_to_nodes_that_help():
    """Guards against nodes that pass on requests because all endpoints are dead."""
    peers, _ = make_peers(1)
    assert peers.is_needed()
    peers._reachability.record_check(1, 4, 2.0)
    assert not peers.is_needed()
    peers, _ = make_peers(0)
    assert not peers.is_needed()


def test_callers_position_is_kept_if_a_stream_is_not_resumed_here():
    request = dataclasses.replace(
        make_request(traffic_route.STREAMING), headers=[*HEADERS, ("Last-Event-Id", "1")]
    )
    peers, client = make_peers(1, sealed(200, EVENTS))
    forward(peers, request)
    assert client.calls[0][1]["Last-Event-Id"] == "1"


@pytest.mark.parametrize(("status", "body"), [(200, b""), (500, b"error\n\n")])
def test_stream_is_not_resumed_with_an_error(status, body):
    """Guards against an endpoint's error in the middle of a stream that was handed over."""
    peers, _ = make_peers(2, sealed(200, broken_after(1)), sealed(status, [body]))
    answer = forward(peers, make_request(traffic_route.STREAMING))
    received = []
    with pytest.raises(stream_aborted.StreamAborted):
        received.extend(answer.stream)
    assert received == EVENTS[:1]
