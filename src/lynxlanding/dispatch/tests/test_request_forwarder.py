"""Forwards requests to endpoints that fail at random, in seeded schedules."""

import contextlib
import dataclasses
import random
import time

import pytest

from lynxlanding.crashes import part_guard, request_digest, statements
from lynxlanding.dispatch import (
    dispatch_decision,
    forward_request,
    limit_table,
    request_forwarder,
    request_logger,
    request_metadata,
    stall_tracker,
)
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import stream_aborted
from lynxlanding.handover import reachability
from lynxlanding.traffic import route as traffic_route

SCHEDULE_COUNT = 1000
EVENT_COUNT = 6


class FakeServingProxy:
    """Stands in for the proxy of a ``ServingActor``; uses a real dispatcher."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def choose(self, query, now):
        return dispatch_factories.CompletedFuture(self._dispatcher.choose(query, now))

    def try_acquire_failover(self, query, now):
        return dispatch_factories.CompletedFuture(self._dispatcher.try_acquire_failover(query, now))

    def try_acquire_retry(self, service, now):
        return dispatch_factories.CompletedFuture(self._dispatcher.try_acquire_retry(service, now))

    def may_send(self, record, now, *, is_counted):
        del now, is_counted
        return dispatch_factories.CompletedFuture(record.accepts_requests)

    def end_attempt(self, endpoint_id):
        self._dispatcher.load_tracker.end(endpoint_id)

    def end_response(self, endpoint_id, status):
        self._dispatcher.load_tracker.end(endpoint_id)

    def record_reported_load(self, endpoint_id, load, now):
        self._dispatcher.load_tracker.record_reported_load(endpoint_id, load, now)

    def record_first_event(self, query, decision, observed_s, now):
        self._dispatcher.record_first_event(query, decision, observed_s, now)

    def record_failure(self, endpoint_id, error_type, now):
        self._dispatcher.health.record_failure(endpoint_id, now)


class FakeResponse:
    ends_with_connection = False

    def __init__(self, status, chunks):
        self.status = status
        self.headers = [("X-Response-Seal", "s")]
        self.chunks = chunks

    def record_progress(self):
        pass


class FaultyEndpoints:
    """Stands in for the client; endpoints fail before, while or after they run a request."""

    def __init__(self, random_state, is_stream):
        self.random_state = random_state
        self.is_stream = is_stream
        self.runs = []
        self.refused = 0

    def send(
        self,
        record,
        method,
        target,
        headers,
        body,
        attempt,
        *,
        fresh,
        before_sending,
        is_stream,
    ):
        del method, target, body, attempt, fresh, is_stream
        before_sending()
        draw = self.random_state.random()
        if draw < 0.1:
            raise endpoint_errors.ConnectionRefused("refused")
        if draw < 0.3:
            self.refused += 1
            return FakeResponse(503, empty_body()), dispatch_factories.make_response_metadata(
                was_not_run=True
            )
        if draw < 0.4:
            raise endpoint_errors.ConnectionBroken("reset before it ran")
        self.runs.append(record.endpoint_id)
        if draw < 0.55:
            raise endpoint_errors.ConnectionBroken("reset after it ran")
        if draw < 0.6:
            return FakeResponse(200, self._body()), dispatch_factories.make_response_metadata(
                request_id="another"
            )
        if draw < 0.65 and not self.is_stream:
            # The request has run, but the status says that it has not.
            return FakeResponse(503, self._body()), dispatch_factories.make_response_metadata()
        if not self.is_stream:
            return FakeResponse(200, self._body()), dispatch_factories.make_response_metadata()
        resume_after = dict(headers).get("Last-Event-Id")
        return FakeResponse(
            200, self._events(0 if resume_after is None else resume_after)
        ), dispatch_factories.make_response_metadata()

    def _body(self):
        yield b"who"
        if self.random_state.random() < 0.3:
            raise endpoint_errors.ResponseTruncated("cut")
        yield b"le"

    def _events(self, resume_after):
        for number in range(resume_after + 1, EVENT_COUNT + 1):
            if self.random_state.random() < 0.12:
                yield b"id: %d\nda" % number
                raise endpoint_errors.ResponseTruncated("cut inside an event")
            yield b"id: %d\ndata: x\n\n" % number


class PassThroughCodec:
    """Returns headers unchanged, except for the event to resume after."""

    @staticmethod
    def encode_forwarded_headers(
        headers, endpoint_id, time_left_s, workspace, urgency, resume_after
    ):
        del endpoint_id, time_left_s, workspace, urgency
        return headers if resume_after is None else [*headers, ("Last-Event-Id", resume_after)]

    @staticmethod
    def filter_response_headers(headers):
        return headers


class CheckingLogger:
    """Checks its arguments instead of logging them."""

    def log_chosen(self, request, decision, attempts):
        assert isinstance(decision, dispatch_decision.Send)

    def log_refused(self, request, decision, attempts):
        assert isinstance(decision, dispatch_decision.Refuse)

    def log_standby_started(self, request, record, resume_after, attempts):
        assert attempts > 0

    def log_standby_ended(self, request, resume_after, outcome):
        assert outcome in (
            request_logger.TOOK_OVER,
            request_logger.NOT_NEEDED,
            request_logger.FAILED,
        )

    def log_sent_late(self, request, record, delay_s):
        assert delay_s > request_forwarder.LATE_SEND_S

    def log_attempt_failed(self, request, record, error, will_retry, history, writing_s):
        assert history.attempts > 0
        assert writing_s is None or writing_s >= 0


class FakeCrashMonitor:
    """Keeps the failures that it is told of."""

    def __init__(self):
        self.failures = []

    def record_failure(self, record, prompt_parts, error, sent_at, begun_at):
        self.failures.append((record.endpoint_id, prompt_parts, type(error), sent_at, begun_at))
        return False

    def record_answer(self, prompt_parts, begun_at):
        raise AssertionError("the requests have no parts")


def empty_body():
    yield from ()


def make_forwarder(seed, route, records=None):
    random_state = random.Random(seed)
    is_model = route.kind == traffic_route.STREAMING
    make_record = (
        dispatch_factories.make_head if is_model else dispatch_factories.make_plain_endpoint
    )
    if records is None:
        records = [make_record(number) for number in range(3)]
    dispatcher, _ = dispatch_factories.make_dispatcher(records, seed=seed)
    service = "model" if is_model else "app"
    for _ in range(50):
        dispatcher.record_request(service, None, None, time.monotonic())
    endpoints = FaultyEndpoints(random_state, is_model)
    now = time.monotonic()
    request = forward_request.ForwardRequest(
        metadata=request_metadata.RequestMetadata("q", model="small"),
        method="POST",
        target="/p/x",
        headers=[],
        body=b"",
        route=route,
        service=service,
        workspace=None,
        priority=1,
        urgency=1,
        work=dispatch_factories.make_query().work,
        received_at=now,
        caller_deadline=now + 6.0,
        has_caller_left=lambda: False,
    )
    forwarder = request_forwarder.RequestForwarder(
        request,
        FakeServingProxy(dispatcher),
        endpoints,
        PassThroughCodec,
        stall_tracker.StallTracker(),
        dispatch_factories.make_statement_recorder(),
        part_guard.PartGuard("n0"),
        FakeCrashMonitor(),
        reachability.Reachability(now),
        None,
        CheckingLogger(),
    )
    return forwarder, endpoints, dispatcher


def test_unsafe_request_runs_at_most_once_and_not_at_all_if_refused():
    """Statuses such as 429 and 503 promise that the request has not run and will not run."""
    outcomes = set()
    for seed in range(SCHEDULE_COUNT):
        forwarder, endpoints, dispatcher = make_forwarder(
            seed, dispatch_factories.make_route(traffic_route.UNSAFE, 1)
        )
        try:
            reply = forwarder.forward()
            assert (reply.status, reply.body) == (200, b"whole")
            outcomes.add("whole")
        except request_errors.RequestError as e:
            if e.status in (408, 421, 429, 503):
                assert endpoints.runs == [], f"seed {seed}"
                assert e.executed == "no"
            outcomes.add(e.status)
        assert len(endpoints.runs) <= 1, f"seed {seed}"
        assert dispatcher.load_tracker.own_counts == {}, f"seed {seed}"
    assert outcomes == {"whole", 502, 503}


def test_safe_request_runs_on_at_most_max_attempts_endpoints():
    for seed in range(SCHEDULE_COUNT):
        forwarder, endpoints, dispatcher = make_forwarder(
            seed, dispatch_factories.make_route(traffic_route.SAFE, 2)
        )
        try:
            reply = forwarder.forward()
            assert reply.status == 503 or reply.body == b"whole"
        except request_errors.RequestError as e:
            assert e.status != 200
        assert len(endpoints.runs) <= 2, f"seed {seed}"
        assert dispatcher.load_tracker.own_counts == {}, f"seed {seed}"


def test_stream_is_complete_or_truncated_between_events():
    """No event is missing, duplicated or partial, also after a resume."""
    complete_count = 0
    expected = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENT_COUNT + 1))
    for seed in range(SCHEDULE_COUNT):
        forwarder, endpoints, dispatcher = make_forwarder(seed, dispatch_factories.make_route())
        received = b""
        try:
            reply = forwarder.forward()
            for chunk in reply.stream:
                received += chunk
            reply.stream.close()
            assert received == expected, f"seed {seed}"
            complete_count += 1
        except (request_errors.RequestError, stream_aborted.StreamAborted):
            assert expected.startswith(received), f"seed {seed}"
            assert received.endswith(b"\n\n") or not received
        assert len(endpoints.runs) <= 2, f"seed {seed}"
        assert dispatcher.load_tracker.own_counts == {}, f"seed {seed}"
    assert complete_count > SCHEDULE_COUNT / 3


def test_stream_closed_by_the_caller_is_no_longer_counted():
    """Guards against requests in flight that are counted forever after callers have left."""
    forwarder, endpoints, dispatcher = make_forwarder(3, dispatch_factories.make_route())
    while True:
        try:
            reply = forwarder.forward()
            break
        except request_errors.RequestError:
            forwarder, endpoints, dispatcher = make_forwarder(
                endpoints.random_state.random(), forwarder._request.route
            )
    next(iter(reply.stream))
    reply.stream.close()
    assert dispatcher.load_tracker.own_counts == {}


def test_request_is_not_sent_to_an_endpoint_that_left_while_it_connected(monkeypatch):
    """Guards against a decision that is older than the announcement of the endpoint."""
    monkeypatch.setattr(request_forwarder, "LATE_SEND_S", -1.0)
    route = dispatch_factories.make_route(traffic_route.UNSAFE, 1)
    forwarder, endpoints, dispatcher = make_forwarder(1, route)
    endpoints.random_state = random.Random(2)
    monkeypatch.setattr(endpoints.random_state, "random", lambda: 0.9)
    withdrawn = []

    def may_send(record, now, *, is_counted):
        del now, is_counted
        if not withdrawn:
            withdrawn.append(record.endpoint_id)
        return dispatch_factories.CompletedFuture(record.endpoint_id not in withdrawn)

    forwarder._serving.may_send = may_send
    reply = forwarder.forward()
    assert (reply.status, reply.body) == (200, b"whole")
    assert len(endpoints.runs) == 1
    assert endpoints.runs[0] != withdrawn[0]
    assert dispatcher.load_tracker.own_counts == {}


class OneResponse:
    """Answers every attempt with one response."""

    def __init__(self, status, metadata):
        self.status = status
        self.metadata = metadata

    def send(
        self,
        record,
        method,
        target,
        headers,
        body,
        attempt,
        *,
        fresh,
        before_sending,
        is_stream,
    ):
        del record, method, target, headers, body, attempt, fresh, is_stream
        before_sending()
        return FakeResponse(self.status, iter_body()), self.metadata


def iter_body():
    yield b"whole"


@pytest.mark.parametrize(
    ("status", "fields", "is_learnt"),
    dispatch_factories.RESPONSE_ORIGINS,
)
def test_limit_is_learnt_from_the_endpoints_own_responses(status, fields, is_learnt, log_messages):
    """Guards against limits of another endpoint, and against refusals that are not heard."""
    route = dispatch_factories.make_route(traffic_route.UNSAFE, 1, service="app")
    forwarder, _, _ = make_forwarder(1, route)
    table = limit_table.LimitTable("n0")
    metadata = dispatch_factories.make_response_metadata(limit_per_s=1.5)
    forwarder._client = OneResponse(status, dataclasses.replace(metadata, **fields))
    forwarder._statement_recorder = dispatch_factories.make_statement_recorder(table)
    with contextlib.suppress(request_errors.RequestError):
        forwarder.forward()
    logged = [item for item in log_messages if item["message_type"] == request_logger.LIMIT_CHANGED]
    assert {item["request_id"] for item in logged} == ({"q"} if is_learnt else set())
    assert bool(table.limited_ids) == is_learnt


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (200, {"request_id": "another"}),
        (200, {"request_id": None}),
        (503, {"request_id": "another", "is_sealed": False, "was_not_run": True}),
        (
            503,
            {
                "request_id": None,
                "is_sealed": False,
                "was_not_run": True,
                "is_first_on_connection": False,
            },
        ),
        (421, {"request_id": None, "is_sealed": False, "is_first_on_connection": False}),
    ],
)
def test_response_that_may_belong_to_another_request_is_not_used(status, fields):
    """Guards against the late second copy of an answer on a connection that is in use again.

    If it is a refusal, the caller must not be told that its request has not run.
    """
    route = dispatch_factories.make_route(traffic_route.SAFE, 1, service="app")
    forwarder, _, _ = make_forwarder(1, route)
    metadata = dataclasses.replace(dispatch_factories.make_response_metadata(), **fields)
    forwarder._client = OneResponse(status, metadata)
    with pytest.raises(request_errors.EndpointFailed, match="another request") as failure:
        forwarder.forward()
    assert failure.value.executed == "unknown"


def test_refusal_without_an_id_counts_on_a_new_connection():
    """Guards against 502 for a request that its endpoint has refused."""
    route = dispatch_factories.make_route(traffic_route.SAFE, 1, service="app")
    forwarder, _, _ = make_forwarder(1, route)
    metadata = dispatch_factories.make_response_metadata(request_id=None, was_not_run=True)
    forwarder._client = OneResponse(503, dataclasses.replace(metadata, is_sealed=False))
    with pytest.raises(request_errors.Overloaded) as refusal:
        forwarder.forward()
    assert refusal.value.executed == "no"


@pytest.mark.parametrize("fields", [{"is_encoded": True}, {"is_sealed": False}])
def test_response_that_is_not_the_endpoints_own_is_not_used(fields):
    """Guards against bodies that something between the node and the endpoint has changed."""
    route = dispatch_factories.make_route(traffic_route.SAFE, 1, service="app")
    forwarder, _, _ = make_forwarder(1, route)
    metadata = dataclasses.replace(dispatch_factories.make_response_metadata(), **fields)
    forwarder._client = OneResponse(200, metadata)
    with pytest.raises(request_errors.EndpointFailed, match="not the endpoint's own"):
        forwarder.forward()


def test_response_without_an_id_answers_a_request_without_one():
    route = dispatch_factories.make_route(traffic_route.SAFE, 1, service="app")
    forwarder, _, _ = make_forwarder(1, route)
    forwarder._request = dataclasses.replace(
        forwarder._request, metadata=request_metadata.RequestMetadata("")
    )
    forwarder._client = OneResponse(200, dispatch_factories.make_response_metadata(request_id=None))
    assert forwarder.forward().body == b"whole"


BAD_PARTS = (0xA1, 0xBAD)


class EndingEndpoints:
    """Each endpoint ends while it writes the first event."""

    def __init__(self):
        self.runs = []

    def send(self, record, *arguments, before_sending, **options):
        del arguments, options
        before_sending()
        self.runs.append(record.endpoint_id)
        raise endpoint_errors.ResponseTruncated("ended")


class EndingMonitor(FakeCrashMonitor):
    """Reports each failure to the guard as the end of the endpoint."""

    def __init__(self, guard):
        super().__init__()
        self._guard = guard

    def record_failure(self, record, prompt_parts, error, sent_at, begun_at):
        now = time.monotonic()
        key = hash(record.endpoint_id)
        self._guard.record_end(
            statements.EndStatement(key, 1, now, dict.fromkeys(prompt_parts, sent_at)), now
        )
        return True


def make_bad_request_forwarder(guard, max_attempts):
    forwarder, _, _ = make_forwarder(1, dispatch_factories.make_route(max_attempts=max_attempts))
    metadata = request_metadata.RequestMetadata("q", model="small", prompt_parts=BAD_PARTS)
    forwarder._request = dataclasses.replace(forwarder._request, metadata=metadata)
    forwarder._client = EndingEndpoints()
    forwarder._part_guard = guard
    forwarder._crash_monitor = EndingMonitor(guard)
    forwarder._request_logger.log_quarantined = lambda *arguments: None
    return forwarder


def quarantine(guard):
    now = time.monotonic()
    for number in range(3):
        at = now - 3.0 + number
        guard.record_end(
            statements.EndStatement(number, 1, at, dict.fromkeys(BAD_PARTS, at - 0.1)), at
        )
    guard.expire(lambda key: 0.0, now)


def test_request_is_not_sent_to_a_third_engine_after_two_have_ended_under_it():
    """Guards against repeats that carry a bad prompt from engine to engine."""
    forwarder = make_bad_request_forwarder(part_guard.PartGuard("n0"), max_attempts=3)
    with pytest.raises(request_errors.EndpointFailed):
        forwarder.forward()
    assert len(forwarder._client.runs) == 2


def test_request_whose_engine_has_ended_for_the_first_time_moves_on():
    """Guards against sound requests that are given up when an engine crashes."""
    forwarder = make_bad_request_forwarder(part_guard.PartGuard("n0"), max_attempts=2)
    with pytest.raises(request_errors.EndpointFailed):
        forwarder.forward()
    assert len(forwarder._client.runs) == 2


def test_quarantined_prompt_is_refused_at_once_and_truly_not_run():
    guard = part_guard.PartGuard("n0")
    quarantine(guard)
    forwarder = make_bad_request_forwarder(guard, max_attempts=2)
    with pytest.raises(request_errors.PromptQuarantined) as refusal:
        forwarder.forward()
    assert (refusal.value.status, refusal.value.executed) == (503, "no")
    assert refusal.value.retry_after_s == request_forwarder.QUARANTINE_RETRY_AFTER_S
    assert forwarder._client.runs == []


def test_request_that_comes_again_is_refused_by_itself_and_truly_not_run():
    """Guards against a refusal that invites the same request again while it is refused."""
    guard = part_guard.PartGuard("n0")
    now = time.monotonic()
    key = request_digest.from_digest(5)
    for number in range(3):
        at = now - 3.0 + number
        guard.record_end(statements.EndStatement(number, 1, at, {key: at - 0.1}), at)
    guard.expire(lambda key: 0.0, now)
    forwarder = make_bad_request_forwarder(guard, max_attempts=2)
    forwarder._request = dataclasses.replace(forwarder._request, key=key)
    with pytest.raises(request_errors.RequestQuarantined) as refusal:
        forwarder.forward()
    assert (refusal.value.status, refusal.value.executed) == (503, "no")
    expected_s = request_forwarder.REQUEST_QUARANTINE_RETRY_AFTER_S
    assert refusal.value.retry_after_s == expected_s
    assert forwarder._client.runs == []


def test_stream_that_broke_is_not_resumed_under_quarantine():
    """Guards against resumed streams as a way round the refusal of prompts."""
    guard = part_guard.PartGuard("n0")
    quarantine(guard)
    forwarder = make_bad_request_forwarder(guard, max_attempts=3)
    forwarder._attempts = forwarder._may_have_run = 1
    forwarder._crash_monitor = FakeCrashMonitor()
    record = dispatch_factories.make_head(0)
    with pytest.raises(request_errors.EndpointFailed) as failure:
        forwarder.resume(record, endpoint_errors.ConnectionBroken("reset"), last_id=3)
    assert failure.value.executed == "unknown"
    assert forwarder._client.runs == []


def test_request_that_waited_for_its_connection_is_checked_again(monkeypatch):
    """Guards against requests that were selected before their prompt was quarantined."""
    monkeypatch.setattr(request_forwarder, "LATE_SEND_S", -1.0)
    guard = part_guard.PartGuard("n0")
    forwarder = make_bad_request_forwarder(guard, max_attempts=2)
    guard_check = guard.check

    def check(parts, now):
        verdict = guard_check(parts, now)
        quarantine(guard)
        return verdict

    guard.check = check
    with pytest.raises(request_errors.PromptQuarantined):
        forwarder.forward()
    assert forwarder._client.runs == []


class StubPeers:
    """Stands in for the ``PeerForwarder``; serves what is handed over."""

    def __init__(self, needed_after=0):
        self.needed_after = needed_after
        self.handed_over = []
        self.asked = 0

    def is_needed(self):
        self.asked += 1
        return self.asked > self.needed_after

    def begin(self, request, may_have_run):
        del request
        self.handed_over.append(may_have_run)
        return self

    def forward(self, resume_after=None):
        self.handed_over.append(resume_after)
        return "reply of another node"


class UnreachableEndpoints(EndingEndpoints):
    """No connection is established."""

    def send(self, record, *arguments, **options):
        del arguments, options
        self.runs.append(record.endpoint_id)
        raise endpoint_errors.ConnectionRefused("timed out")


def make_cut_forwarder(peers, route, client):
    forwarder, _, _ = make_forwarder(1, route)
    forwarder._peer_forwarder = peers
    forwarder._client = client
    return forwarder


def test_node_that_is_cut_hands_over_at_once():
    """Guards against callers that wait while this node finds out again what it knows."""
    peers = StubPeers()
    route = dispatch_factories.make_route(traffic_route.UNSAFE, 1)
    forwarder = make_cut_forwarder(peers, route, UnreachableEndpoints())
    assert forwarder.forward() == "reply of another node"
    assert forwarder._client.runs == []


def test_request_in_whose_attempts_the_cut_is_found_is_handed_over():
    peers = StubPeers(needed_after=2)
    route = dispatch_factories.make_route(traffic_route.UNSAFE, 1)
    forwarder = make_cut_forwarder(peers, route, UnreachableEndpoints())
    assert forwarder.forward() == "reply of another node"
    assert len(forwarder._client.runs) == 2
    assert peers.handed_over == [0, None]


def test_unsafe_request_that_may_have_run_is_not_handed_over():
    """Guards against a second run at another node."""
    peers = StubPeers(needed_after=1)
    route = dispatch_factories.make_route(traffic_route.UNSAFE, 1)
    forwarder = make_cut_forwarder(peers, route, EndingEndpoints())
    with pytest.raises(request_errors.EndpointFailed):
        forwarder.forward()
    assert peers.handed_over == []


def test_request_of_another_node_is_not_handed_over_again():
    """Guards against requests that go round between nodes."""
    route = dispatch_factories.make_route(traffic_route.SAFE, 1)
    forwarder = make_cut_forwarder(None, route, UnreachableEndpoints())
    with pytest.raises(request_errors.Overloaded):
        forwarder.forward()


def test_stream_that_breaks_in_the_cut_is_resumed_by_another_node():
    class ResumingPeers(StubPeers):
        def forward(self, resume_after=None):
            self.handed_over.append(resume_after)
            return type("Reply", (), {"stream": "stream of another node"})

    peers = ResumingPeers()
    forwarder = make_cut_forwarder(peers, dispatch_factories.make_route(), UnreachableEndpoints())
    forwarder._attempts = forwarder._may_have_run = 1
    record = dispatch_factories.make_head(0)
    reply = forwarder.resume(record, endpoint_errors.ConnectionBroken("reset"), last_id=3)
    assert reply.stream == "stream of another node"
    assert peers.handed_over == [1, 3]
    assert forwarder._client.runs == []


class BreakingEndpoints:
    """The first stream breaks off after two events; what follows is given."""

    def __init__(self, status, headers, body):
        self._status = status
        self._headers = headers
        self._body = body
        self.sent = 0

    def send(self, record, *arguments, before_sending, **options):
        del record, arguments, options
        before_sending()
        self.sent += 1
        metadata = dispatch_factories.make_response_metadata()
        if self.sent == 1:
            return FakeResponse(200, self._break_off()), metadata
        response = FakeResponse(self._status, (part for part in [self._body]))
        response.headers = self._headers
        return response, metadata

    def _break_off(self):
        yield b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
        raise endpoint_errors.ResponseTruncated("cut")


EVENT_STREAM = [("Content-Type", "text/event-stream")]
ERROR_PAGES = [
    (500, [], b"HTTP/1.1 500 Failed\r\n\r\n"),
    (500, EVENT_STREAM, b"id: 3\ndata: error\n\n"),
    (404, [], b"not found\n\n"),
    (503, [], b"full\n\n"),
    (204, [], b""),
    (200, [("Content-Type", "application/json")], b'{"error": "full"}'),
    (200, [("Content-Type", "text/html")], b"<p>failed</p>\n\n<p>id: 3</p>\n\n"),
    (200, [("Content-Type", "text/html")], b""),
    (200, [], b""),
    (200, EVENT_STREAM, b"event: error\ndata: failed\n\n"),
    (200, EVENT_STREAM, b"HTTP/1.1 500 Failed\r\n\r\nid: 3\ndata: x\n\n"),
]


@pytest.mark.parametrize(("status", "headers", "body"), ERROR_PAGES)
def test_stream_is_not_resumed_with_an_error(status, headers, body):
    """Guards against an error's text in a stream, and a stream that ends with it as if whole."""
    forwarder, _, dispatcher = make_forwarder(1, dispatch_factories.make_route())
    forwarder._client = BreakingEndpoints(status, headers, body)
    answer = forwarder.forward()
    received = b""
    with pytest.raises(stream_aborted.StreamAborted):
        for data in answer.stream:
            received += data
    answer.stream.close()
    assert received == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert forwarder._client.sent == 2
    assert dispatcher.load_tracker.own_counts == {}


def test_resuming_answer_may_have_no_events_left():
    """Guards against a stream that is cut although all of its events have reached the caller."""
    forwarder, _, _ = make_forwarder(1, dispatch_factories.make_route())
    forwarder._client = BreakingEndpoints(200, EVENT_STREAM, b"")
    assert b"".join(forwarder.forward().stream) == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
