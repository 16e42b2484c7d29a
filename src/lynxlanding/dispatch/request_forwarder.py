"""Forwards one request: selects endpoints, sends attempts and relays the response."""

import time

from lynxlanding.crashes import crash_monitor
from lynxlanding.dispatch import (
    dispatch_decision,
    event_buffer,
    reply,
    request_logger,
    retry_rules,
    standby_attempt,
    stream_relay,
)
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import attempt_monitor

# Connecting usually takes a few milliseconds. If it has taken longer than this, the endpoint may
# have left in the meantime.
LATE_SEND_S = 0.1

# Such a prompt is refused for as long as requests with it come, so a retry is of no use before its
# caller gives up.
QUARANTINE_RETRY_AFTER_S = 30.0
# Such a request is refused for longer than any caller waits; the status says that it has not run.
REQUEST_QUARANTINE_RETRY_AFTER_S = 600.0

# After a refusal of a second attempt, the next one waits until places may be free again. The bound
# on attempts would be reached within milliseconds while the other endpoints are full.
STANDBY_RETRY_DELAY_S = 0.4

# Answers of a second attempt from this status on are no better than to wait for the first one.
MIN_ERROR_STATUS = 500

# Statuses that promise callers that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_UNSENT_ERRORS = (endpoint_errors.ConnectionRefused, endpoint_errors.EndpointWithdrawn)


class RequestForwarder:
    """Forwards one request of a caller, with retries.

    Parameters
    ----------
    request : ForwardRequest
        Request to forward.
    serving : ServingActor proxy
        Selects endpoints and counts attempts.
    client : EndpointClient
        Sends attempts.
    codec : module
        Provides ``encode_forwarded_headers`` and ``filter_response_headers``.
    stall_tracker : StallTracker
        Endpoints that have stopped making progress.
    statement_recorder : StatementRecorder
        Receives what endpoints state about themselves.
    part_guard : PartGuard
        Refuses requests and prompts that crash engines.
    crash_monitor : CrashMonitor
        Told of attempts that broke off.
    reachability : Reachability
        Told of endpoints that could not be reached or stayed silent.
    peer_forwarder : PeerForwarder or None
        Hands requests over to other nodes; None if the request comes from one.
    logger : RequestLogger
        Logs the decisions.
    """

    def __init__(
        self,
        request,
        serving,
        client,
        codec,
        stall_tracker,
        statement_recorder,
        part_guard,
        crash_monitor,
        reachability,
        peer_forwarder,
        logger,
    ):
        self._request = request
        self._serving = serving
        self._client = client
        self._codec = codec
        self._stall_tracker = stall_tracker
        self._statement_recorder = statement_recorder
        self._part_guard = part_guard
        self._crash_monitor = crash_monitor
        self._reachability = reachability
        self._peer_forwarder = peer_forwarder
        self._request_logger = logger
        self._attempts = 0
        # Of the current attempt, in monotonic seconds.
        self._sent_at = 0.0
        self._responded_at = None
        self._first_event_at = None
        self._is_answer_recorded = False
        self._is_trial = False
        self._may_have_run = 0
        self._excluded = set()
        # Of the current attempt: its monitored attempt, position and events.
        self._attempt = None
        self._resume_after = None
        self._buffer = None
        # Second attempt beside the current one, if its endpoint is silent.
        self._standby = None
        self._standby_refused_at = None
        self._is_standby = False
        self._is_aborted = False
        self._inherited_attempts = 0
        self._inherited_may_have_run = 0

    @property
    def _position(self):
        """Id of the last event that the caller has received, if a stream is to be resumed."""
        if self._buffer is None or not self._buffer.event_count:
            return self._resume_after
        return self._buffer.last_id

    def forward(self):
        """Return the ``Reply`` for the caller.

        Raises
        ------
        errors.request.RequestError
            If the request is refused or has failed.
        """
        try:
            return self._forward()
        except BaseException:
            self.cancel_standby()
            raise

    def _forward(self):
        while not self._should_hand_over():
            record, decision = self._choose()
            try:
                return self._send(record, decision)
            except endpoint_errors.AttemptError as e:
                try:
                    self._handle_failure(record, e)
                except request_errors.RequestError as final_error:
                    if not self._may_hand_over(final_error):
                        raise
                    break
        return self._hand_over()

    def forward_once(self, resume_after):
        """Return the ``Reply`` of one attempt, of which failures are recorded.

        Parameters
        ----------
        resume_after : int or None
            Id of the last event that the caller has received, if a stream is resumed.

        Raises
        ------
        errors.request.RequestError
            If the request is refused.
        errors.endpoint.AttemptError
            If the attempt fails.
        """
        record, decision = self._choose()
        try:
            answer = self._send(record, decision, resume_after)
            self._check_can_take_over(answer, resume_after)
        except endpoint_errors.AttemptError as e:
            if not self._is_aborted:
                self._note_failure(record, e, will_retry=False)
            raise
        return answer

    def _check_can_take_over(self, answer, resume_after):
        """Raise ``MalformedResponse`` if the answer is worse than to wait for the silent one."""
        is_error = answer.status >= MIN_ERROR_STATUS
        if is_error or (resume_after is not None and answer.stream is None):
            raise endpoint_errors.MalformedResponse(f"answered with status {answer.status}")

    def abort(self):
        """Abort the current attempt, which is not needed."""
        self._is_aborted = True
        self.cancel_standby()
        if self._attempt is not None:
            self._attempt.cancel()

    def _hand_over(self, resume_after=None):
        """Return the ``Reply`` of another node."""
        handed_over = self._peer_forwarder.begin(self._request, self._may_have_run)
        return handed_over.forward(resume_after)

    def _should_hand_over(self):
        """Return whether another node is to serve the request because this one cannot."""
        if self._peer_forwarder is None or not self._peer_forwarder.is_needed():
            return False
        time_left_s = self._request.deadline - time.monotonic()
        if time_left_s < retry_rules.MIN_TIME_LEFT_S:
            return False
        return not self._may_have_run or self._request.route.is_idempotent

    def _may_hand_over(self, error):
        """Return whether a request that this node gives up may go to another one instead."""
        has_caller_left = isinstance(error, request_errors.CallerDisconnected)
        return not has_caller_left and self._should_hand_over()

    def _make_query(self, now):
        request = self._request
        return dispatch_decision.DispatchQuery(
            request_id=request.metadata.request_id,
            service=request.service,
            route=request.route,
            model=request.metadata.model,
            work=request.work,
            time_left_s=request.deadline - now,
            excluded=frozenset(self._excluded),
            priority=request.priority,
        )

    def _choose(self):
        now = time.monotonic()
        request = self._request
        self._check_prompt(now)
        decision = self._serving.choose(self._make_query(now), now).get()
        if isinstance(decision, dispatch_decision.Refuse):
            self._request_logger.log_refused(request, decision, self._attempts)
            raise self._refusal_error(decision.reason, decision.retry_after_s)
        self._request_logger.log_chosen(request, decision, self._attempts)
        return decision.record, decision

    def _check_prompt(self, now):
        """Raise the final ``RequestError`` if the request or parts of its prompt crash engines."""
        if self._is_trial and not self._may_have_run:
            # No engine has run it so far.
            return
        verdict = self._part_guard.check(self._request.crash_keys, now)
        if verdict is None:
            return
        self._request_logger.log_quarantined(self._request, verdict, self._attempts, now)
        self._is_trial = verdict.is_trial
        if verdict.is_trial:
            return
        if verdict.is_on_request:
            reason = "the request has crashed engines"
            refusal = request_errors.RequestQuarantined(
                reason, retry_after_s=REQUEST_QUARANTINE_RETRY_AFTER_S
            )
        else:
            reason = "parts of the prompt have crashed engines"
            refusal = request_errors.PromptQuarantined(
                reason, retry_after_s=QUARANTINE_RETRY_AFTER_S
            )
        if self._may_have_run:
            raise request_errors.EndpointFailed(reason)
        raise refusal

    def _refusal_error(self, reason, retry_after_s):
        if self._may_have_run:
            return request_errors.EndpointFailed(reason)
        return request_errors.Overloaded(reason, retry_after_s=retry_after_s)

    def _send(self, record, decision, resume_after=None):
        """Return the ``Reply`` of an endpoint, or of the second attempt that has replaced it."""
        try:
            return self._send_attempt(record, decision, resume_after)
        except endpoint_errors.AttemptError as e:
            answer = self._take_standby(record, e)
            if answer is None:
                raise
            return answer

    def _send_attempt(self, record, decision, resume_after):
        """Send the request to an endpoint and return the ``Reply``."""
        request = self._request
        started_at = time.monotonic()
        attempt = attempt_monitor.MonitoredAttempt(
            request.deadline,
            decision.first_event_timeout_s,
            request.has_caller_left,
            lambda: self._has_replacement(record),
            lambda: self._stall_tracker.is_stalled(
                record.endpoint_id, decision.stall_timeout_s, time.monotonic()
            ),
        )
        self._attempt = attempt
        self._resume_after = resume_after
        self._buffer = None
        self._attempts += 1
        self._may_have_run += 1
        self._sent_at = started_at
        self._responded_at = None
        self._first_event_at = None
        self._is_answer_recorded = False
        response = None
        try:
            response, metadata = self._client.send(
                record,
                request.method,
                request.target,
                self._codec.encode_forwarded_headers(
                    request.headers,
                    record.endpoint_id,
                    request.deadline - started_at,
                    request.workspace,
                    request.urgency,
                    resume_after,
                ),
                request.body,
                attempt,
                # On a reused connection, a late response to an earlier request could be taken for
                # the response to this one.
                fresh=not request.route.is_idempotent,
                before_sending=lambda: self._check_sendable(record, decision, started_at),
                is_stream=request.route.is_stream,
            )
            self._responded_at = time.monotonic()
            self._statement_recorder.record_response(
                record,
                request.metadata.request_id,
                response.status,
                metadata,
                started_at,
                self._responded_at,
            )
            if metadata.load is not None:
                load = metadata.load.running + metadata.load.waiting
                self._serving.record_reported_load(record.endpoint_id, load, time.monotonic())
            self._check_response(response, metadata)
            if request.route.is_stream and response.status == 200:
                answer = self._begin_stream(
                    record, decision, response, attempt, started_at, resume_after
                )
            else:
                answer = self._read_complete(record, response)
            self.cancel_standby()
            return answer
        except BaseException as e:
            if response is not None:
                response.chunks.close()
            if getattr(e, "certainly_not_run", False):
                self._may_have_run -= 1
            self._serving.end_attempt(record.endpoint_id)
            raise

    def _check_sendable(self, record, decision, chosen_at):
        """Raise ``EndpointWithdrawn`` if the endpoint takes no request that was selected earlier.

        It may have left, or stated a limit that the selection did not know.
        """
        if self._is_aborted:
            raise endpoint_errors.EndpointWithdrawn("another attempt has answered")
        now = time.monotonic()
        delay_s = now - chosen_at
        if delay_s <= LATE_SEND_S:
            return
        if not self._is_trial and self._part_guard.is_quarantined(self._request.crash_keys):
            raise endpoint_errors.EndpointWithdrawn(
                f"{record.address}: engines have crashed under the request since the selection"
            )
        is_counted = decision.limit_per_s is not None
        if not self._serving.may_send(record, now, is_counted=is_counted).get():
            raise endpoint_errors.EndpointWithdrawn(
                f"{record.address}: no longer usable {delay_s:.3f} s after the selection"
            )
        self._request_logger.log_sent_late(self._request, record, delay_s)

    def _check_response(self, response, metadata):
        request = self._request
        if metadata.may_be_of_another_request(request.metadata.request_id, response.status):
            raise endpoint_errors.ResponseMismatch("the response belongs to another request")
        if metadata.was_not_run or response.status == 421:
            raise endpoint_errors.EndpointRefused(response.status)
        if response.status in NOT_RUN_STATUSES and not request.route.is_idempotent:
            # The caller would conclude from the status that the request has not run, which the
            # endpoint has not confirmed.
            raise endpoint_errors.UnconfirmedRefusal(
                f"status {response.status} without that statement"
            )
        if metadata.is_encoded or not metadata.is_sealed:
            raise endpoint_errors.MalformedResponse("the response is not the endpoint's own")

    def _read_complete(self, record, response):
        parts = []
        for chunk in response.chunks:
            parts.append(chunk)
        self._serving.end_response(record.endpoint_id, response.status)
        if response.status == 200:
            self._record_answer()
        headers = self._codec.filter_response_headers(response.headers)
        return reply.Reply(response.status, headers, body=b"".join(parts))

    def _begin_stream(self, record, decision, response, attempt, started_at, resume_after):
        last_id = resume_after
        if last_id is None:
            last_id = self._request.metadata.last_event_id
        buffer = event_buffer.EventBuffer(last_id)
        self._buffer = buffer
        first_events = stream_relay.read_first_events(response, buffer)
        now = time.monotonic()
        self._first_event_at = now
        self._serving.record_first_event(
            self._make_query(started_at), decision, now - started_at, now
        )
        attempt.set_stall_timeout(decision.stall_timeout_s)
        headers = self._codec.filter_response_headers(response.headers)
        relay = stream_relay.StreamRelay(self, record, response, buffer, first_events)
        return reply.Reply(response.status, headers, stream=relay)

    def resume(self, record, error, last_id):
        """Return the ``Reply`` of another endpoint that resumes the stream after ``last_id``.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint that failed.
        error : AttemptError
            Failure of the endpoint.
        last_id : int or None
            Id of the last event that the caller received.

        Raises
        ------
        errors.request.RequestError
            If the stream cannot be resumed.
        """
        resumed = self._take_standby(record, error)
        if resumed is None:
            resumed = self._resume_after_failure(record, error, last_id)
        return resumed

    def _resume_after_failure(self, record, error, last_id):
        if last_id is None:
            self._record_failure(record, error)
            raise request_errors.EndpointFailed("the stream broke without a position to resume at")
        resumed = None
        try:
            self._handle_failure(record, error)
            resumed = self._resume_here(last_id)
        except request_errors.RequestError as e:
            if not self._may_hand_over(e):
                raise
        if resumed is None:
            resumed = self._hand_over(last_id)
        return resumed

    def _resume_here(self, last_id):
        """Return the ``Reply`` of an endpoint; None if another node is to resume the stream."""
        while not self._should_hand_over():
            record, decision = self._choose()
            try:
                return self._send(record, decision, last_id)
            except endpoint_errors.AttemptError as e:
                self._handle_failure(record, e)
        return None

    def _has_replacement(self, record):
        """Return whether a silent attempt may be aborted, as another one has answered.

        Starts the other attempt if the rules on retries permit it.
        """
        now = time.monotonic()
        if self._request.route.is_stream:
            self._stall_tracker.record_stall(record.endpoint_id, now)
        if self._is_standby:
            return False
        if self._standby is not None and self._standby.has_failed:
            self._drop_standby(request_logger.FAILED)
        if self._standby is None:
            self._try_start_standby(record, now)
            return False
        return self._standby.has_answered and self._standby.resume_after == self._position

    def _try_start_standby(self, record, now):
        """Start a second attempt beside the current one, if there is an endpoint for it."""
        refused_at = self._standby_refused_at
        if refused_at is not None and now - refused_at < STANDBY_RETRY_DELAY_S:
            return
        history = self._history(last_was_not_run=False)
        if not retry_rules.may_retry(self._request.route, history):
            return
        self._excluded.add(record.endpoint_id)
        attempt = self._attempt
        if not self._serving.try_acquire_failover(self._make_query(now), now).get():
            return
        if attempt.is_finished:
            # It has ended during the selection.
            return
        forwarder = RequestForwarder(
            self._request,
            self._serving,
            self._client,
            self._codec,
            self._stall_tracker,
            self._statement_recorder,
            self._part_guard,
            self._crash_monitor,
            self._reachability,
            self._peer_forwarder,
            self._request_logger,
        )
        forwarder._is_standby = True
        forwarder._inherit_history(self)
        self._standby = standby_attempt.StandbyAttempt(
            forwarder, self._position, lambda: attempt.check(time.monotonic())
        )
        self._request_logger.log_standby_started(
            self._request, record, self._position, self._attempts
        )
        self._standby.start()

    def _inherit_history(self, other):
        """Begin with what another forwarder of the same request has tried."""
        self._attempts = self._inherited_attempts = other._attempts
        self._may_have_run = self._inherited_may_have_run = other._may_have_run
        self._excluded = set(other._excluded)

    def _add_history(self, other):
        """Add what the forwarder of a second attempt has tried."""
        self._attempts += other._attempts - other._inherited_attempts
        self._may_have_run += other._may_have_run - other._inherited_may_have_run
        self._excluded |= other._excluded

    def _take_standby(self, record, error):
        """Return the ``Reply`` that replaces a failed attempt; None if there is no other one."""
        standby = self._standby
        if standby is None:
            return None
        if self._request.has_caller_left() or standby.resume_after != self._position:
            self.cancel_standby()
            return None
        # The other attempt is under way already, so its answer comes sooner than a third one's.
        # From now on, it may have a second attempt of its own.
        standby.forwarder._is_standby = False
        answer = standby.wait()
        if answer is None:
            self._drop_standby(request_logger.FAILED)
            return None
        self._note_failure(record, error, will_retry=True)
        self._drop_standby(request_logger.TOOK_OVER)
        return answer

    def _drop_standby(self, outcome):
        standby = self._standby
        self._standby = None
        self._standby_refused_at = standby.refused_at
        self._add_history(standby.forwarder)
        self._request_logger.log_standby_ended(self._request, standby.resume_after, outcome)

    def cancel_standby(self):
        """Cancel the second attempt, if there is one."""
        standby = self._standby
        if standby is not None:
            self._drop_standby(request_logger.NOT_NEEDED)
            standby.cancel()

    def _handle_failure(self, record, error):
        """Return if the request may be retried; otherwise raise the final ``RequestError``."""
        now = time.monotonic()
        self._excluded.add(record.endpoint_id)
        request = self._request
        if request.has_caller_left():
            raise request_errors.CallerDisconnected("the caller has closed its connection")
        self._serving.record_failure(record.endpoint_id, type(error), now)
        has_ended = self._record_failure(record, error)
        was_not_run = error.certainly_not_run
        history = self._history(last_was_not_run=was_not_run)
        may_retry = retry_rules.may_retry(request.route, history)
        if may_retry and has_ended and not was_not_run:
            may_retry = self._part_guard.may_repeat(request.crash_keys)
        # An attempt that sent nothing did not reach the service, so its retry is not counted.
        uses_budget = not isinstance(error, _UNSENT_ERRORS)
        if may_retry and uses_budget:
            may_retry = self._serving.try_acquire_retry(request.service, now).get()
        self._request_logger.log_attempt_failed(
            request, record, error, may_retry, history, self._writing_s(now)
        )
        if may_retry:
            return
        if not self._may_have_run:
            raise request_errors.Overloaded(str(error), retry_after_s=0.3) from error
        if now >= request.deadline:
            raise request_errors.DeadlineExceeded("no response before the deadline") from error
        raise request_errors.EndpointFailed(str(error)) from error

    def _note_failure(self, record, error, *, will_retry):
        """Record and log a failed attempt whose consequences are settled."""
        now = time.monotonic()
        self._excluded.add(record.endpoint_id)
        self._serving.record_failure(record.endpoint_id, type(error), now)
        self._record_failure(record, error)
        history = self._history(last_was_not_run=error.certainly_not_run)
        self._request_logger.log_attempt_failed(
            self._request, record, error, will_retry, history, self._writing_s(now)
        )

    def _record_failure(self, record, error):
        """Record a failed attempt; return whether its endpoint has ended."""
        is_silent = isinstance(error, endpoint_errors.AttemptTimedOut) and not self._responded_at
        if is_silent or isinstance(error, endpoint_errors.ConnectionRefused):
            self._reachability.record_failure(record.endpoint_id, time.monotonic())
        keys = self._request.crash_keys
        return self._crash_monitor.record_failure(
            record, keys, error, self._sent_at, self._first_event_at
        )

    def _record_answer(self):
        self._is_answer_recorded = True
        keys = self._request.crash_keys
        if keys:
            self._crash_monitor.record_answer(keys, self._first_event_at or self._responded_at)

    def _writing_s(self, now):
        """Return how long the current attempt's stream has been written; None before that."""
        return None if self._first_event_at is None else now - self._first_event_at

    def _history(self, *, last_was_not_run):
        return retry_rules.AttemptHistory(
            attempts=self._attempts,
            may_have_run=self._may_have_run,
            last_was_not_run=last_was_not_run,
            time_left_s=self._request.deadline - time.monotonic(),
        )

    def record_progress(self):
        """Record that the current attempt's stream goes on, once it shows the request harmless."""
        if self._is_answer_recorded or self._first_event_at is None:
            return
        if time.monotonic() - self._first_event_at >= crash_monitor.HARMLESS_AFTER_S:
            self._record_answer()

    def complete_attempt(self):
        """Record that the current attempt's stream is complete."""
        self.cancel_standby()
        self._record_answer()

    def finish_attempt(self, record):
        """Stop counting an attempt whose stream has ended."""
        self._serving.end_attempt(record.endpoint_id)
