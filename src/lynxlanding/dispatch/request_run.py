"""Runs one request: chooses endpoints, sends attempts, relays the response."""

import time

from lynxlanding.dispatch import choice, event_buffer, reply, retry_rules, stream_relay
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import attempt_monitor

# Statuses that tell callers that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})


class RequestRun:
    """One request of a caller.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    serving : ServingActor proxy
        Chooses endpoints and owns the counts.
    exchange_client : Exchange
        Sends attempts.
    codec : module
        Offers ``encode_forwarded`` and ``returned``.
    stalls : StallBoard
        Endpoints that have stopped making progress.
    journal : RequestJournal
        Logs the decisions.
    """

    def __init__(self, request, serving, exchange_client, codec, stalls, journal):
        self._request = request
        self._serving = serving
        self._exchange = exchange_client
        self._codec = codec
        self._stalls = stalls
        self._journal = journal
        self._sends = 0
        self._may_have_run = 0
        self._excluded = set()
        self._granted_repeat = False

    def start(self):
        """Return a ``Reply``.

        Raises
        ------
        errors.request.RequestError
            If the request is refused or has failed.
        """
        while True:
            record, send = self._choose()
            try:
                return self._attempt(record, send)
            except endpoint_errors.AttemptError as e:
                self._after_failure(record, e)

    def _question(self, now):
        request = self._request
        return choice.Question(
            request_id=request.marks.request_id,
            service=request.service,
            route=request.route,
            model=request.marks.model,
            work=request.work,
            time_left_s=request.deadline - now,
            excluded=frozenset(self._excluded),
        )

    def _choose(self):
        now = time.monotonic()
        request = self._request
        decision = self._serving.choose(self._question(now), now).get()
        if isinstance(decision, choice.Refuse):
            self._journal.refused(request, decision, self._sends)
            raise self._refusal(decision.reason, decision.retry_after_s)
        self._journal.chosen(request, decision, self._sends)
        return decision.record, decision

    def _refusal(self, reason, retry_after_s):
        if self._may_have_run:
            return request_errors.EndpointFailed(reason)
        return request_errors.Overloaded(reason, retry_after_s=retry_after_s)

    def _attempt(self, record, send, resume_after=None):
        """Send the request to an endpoint and return the ``Reply``."""
        request = self._request
        started_at = time.monotonic()
        attempt = attempt_monitor.MonitoredAttempt(
            request.deadline,
            send.first_stall_s,
            request.has_caller_left,
            lambda: self._may_abandon(record),
            lambda: self._stalls.is_stalled(record.endpoint_id, send.stall_s, time.monotonic()),
        )
        self._sends += 1
        self._may_have_run += 1
        response = None
        try:
            response, marks = self._exchange.open(
                record,
                request.method,
                request.target,
                self._codec.encode_forwarded(
                    request.headers,
                    record.endpoint_id,
                    request.deadline - started_at,
                    request.workspace,
                    request.urgency,
                    resume_after,
                ),
                request.body,
                attempt,
                # A late response to an earlier request must not be taken for this one's.
                fresh=not request.route.is_idempotent,
            )
            if marks.load is not None:
                load = marks.load.running + marks.load.waiting
                self._serving.state_load(record.endpoint_id, load, time.monotonic())
            self._check(response, marks)
            if request.route.is_stream and response.status == 200:
                return self._begin_stream(record, send, response, attempt, started_at, resume_after)
            return self._read_whole(record, response)
        except BaseException as e:
            if response is not None:
                response.chunks.close()
            if getattr(e, "certainly_not_run", False):
                self._may_have_run -= 1
            self._serving.end_attempt(record.endpoint_id)
            raise

    def _check(self, response, marks):
        request = self._request
        if marks.was_not_run or response.status == 421:
            raise endpoint_errors.EndpointRefused(response.status)
        if marks.request_id is not None and marks.request_id != request.marks.request_id:
            raise endpoint_errors.ResponseMismatch("the response belongs to another request")
        if response.status in PROMISES and not request.route.is_idempotent:
            # The caller would take the status for a promise that the endpoint has not made.
            raise endpoint_errors.FalsePromise(f"status {response.status} without that statement")
        if marks.is_encoded or not marks.is_sealed:
            raise endpoint_errors.MalformedResponse("the response is not the endpoint's own")

    def _read_whole(self, record, response):
        parts = []
        for chunk in response.chunks:
            parts.append(chunk)
        self._serving.end_response(record.endpoint_id, response.status)
        headers = self._codec.returned(response.headers)
        return reply.Reply(response.status, headers, body=b"".join(parts))

    def _begin_stream(self, record, send, response, attempt, started_at, resume_after):
        last_id = resume_after
        if last_id is None:
            last_id = self._request.marks.last_event_id
        events = event_buffer.EventBuffer(last_id)
        first = self._next_events(response, events)
        now = time.monotonic()
        self._serving.note_first_event(self._question(started_at), send, now - started_at, now)
        attempt.expect_data_within(send.stall_s)
        headers = self._codec.returned(response.headers)
        relay = stream_relay.StreamRelay(self, record, response, events, first)
        return reply.Reply(response.status, headers, stream=relay)

    def _next_events(self, response, events):
        for chunk in response.chunks:
            whole = events.feed(chunk)
            if whole:
                return whole
        if not events.is_empty:
            raise endpoint_errors.ResponseTruncated("the stream ends inside an event")
        return b""

    def resume(self, record, error, last_id):
        """Return the ``Reply`` of another endpoint that goes on after event ``last_id``.

        Raises
        ------
        errors.request.RequestError
            If the stream cannot go on.
        """
        if last_id is None:
            raise request_errors.EndpointFailed("the stream broke without a position to resume at")
        self._after_failure(record, error)
        while True:
            next_record, send = self._choose()
            try:
                resumed = self._attempt(next_record, send, resume_after=last_id)
            except endpoint_errors.AttemptError as e:
                self._after_failure(next_record, e)
                continue
            if resumed.stream is None:
                raise request_errors.EndpointFailed(f"resuming was answered with {resumed.status}")
            return resumed

    def _may_abandon(self, record):
        """Return whether a stalled attempt may be ended in favour of another one."""
        now = time.monotonic()
        if self._request.route.is_stream:
            self._stalls.note_stall(record.endpoint_id, now)
        history = self._history(last_was_not_run=False)
        if not retry_rules.may_repeat(self._request.route, history):
            return False
        self._excluded.add(record.endpoint_id)
        if not self._serving.may_switch(self._question(now), now).get():
            return False
        self._granted_repeat = True
        return True

    def _after_failure(self, record, error):
        """Decide about a repeat; raises the final ``RequestError`` if there is none."""
        now = time.monotonic()
        self._excluded.add(record.endpoint_id)
        request = self._request
        was_caller = request.has_caller_left()
        if not was_caller:
            self._serving.note_failure(record.endpoint_id, type(error), now)
        if was_caller:
            raise request_errors.CallerLeft("the caller has closed its connection")
        not_run = error.certainly_not_run
        history = self._history(last_was_not_run=not_run)
        allowed = retry_rules.may_repeat(request.route, history)
        # A send that found no connection is no arrival at the service.
        uses_allowance = not isinstance(error, endpoint_errors.ConnectionRefused)
        if allowed and uses_allowance and not self._granted_repeat:
            allowed = self._serving.take_repeat(request.service, now).get()
        self._granted_repeat = False
        self._journal.attempt_failed(request, record, error, allowed, history)
        if allowed:
            return
        if not self._may_have_run:
            raise request_errors.Overloaded(str(error), retry_after_s=0.3) from error
        if now >= request.deadline:
            raise request_errors.DeadlineExceeded("no response before the deadline") from error
        raise request_errors.EndpointFailed(str(error)) from error

    def _history(self, *, last_was_not_run):
        return retry_rules.AttemptHistory(
            sends=self._sends,
            may_have_run=self._may_have_run,
            last_was_not_run=last_was_not_run,
            time_left_s=self._request.deadline - time.monotonic(),
        )

    def finish_attempt(self, record):
        """Release the count of an attempt whose stream has ended."""
        self._serving.end_attempt(record.endpoint_id)
