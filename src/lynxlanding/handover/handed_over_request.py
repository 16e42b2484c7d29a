"""One request at other nodes, which are called as by any other caller."""

import time

import eliot

from lynxlanding.dispatch import event_buffer, reply, retry_rules, stream_relay
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.fleet import endpoint_record
from lynxlanding.requests import attempt_monitor

# Marks a request that comes from another node, so that it is not handed over again. A caller that
# sets the header only loses that possibility.
HANDED_OVER_BY = "X-Lynxlanding-Handed-Over-By"
EXECUTED = "x-executed"

# Nodes that one request is handed over to, one after the other.
MAX_HELPERS = 3
# A helper that has sent nothing for this long is given up if it no longer reports to this node.
SILENCE_S = 0.5
# If no helper states when to come back.
DEFAULT_RETRY_AFTER_S = 0.5

HANDED_OVER = "lynxlanding:request:handed_over"
HANDOVER_FAILED = "lynxlanding:request:handover_failed"


class HandedOverRequest:
    """One request at other nodes, one after the other.

    Parameters
    ----------
    peers : PeerForwarder
        Selects the nodes.
    request : ForwardRequest
        Request to hand over.
    may_have_run : int
        Attempts that an endpoint may have run already.
    """

    def __init__(self, peers, request, may_have_run):
        self._peers = peers
        self._request = request
        self._may_have_run = may_have_run
        self._tried = set()
        self._retry_after_s = None

    def forward(self, resume_after=None):
        """Return the ``Reply`` of a helper.

        Parameters
        ----------
        resume_after : int, optional
            Id of the last event that the caller has received, if a stream is resumed.

        Raises
        ------
        errors.request.RequestError
            If no helper serves the request.
        """
        while True:
            helper = None
            if len(self._tried) < MAX_HELPERS:
                helper = self._peers.choose(self._tried)
            if helper is None:
                raise self._final_error("no other node serves the request")
            self._tried.add(helper.node_id)
            self._log_handed_over(helper, resume_after)
            try:
                return self._send(helper, resume_after)
            except endpoint_errors.AttemptError as e:
                self._handle_failure(helper.node_id, e)

    def resume(self, record, error, last_id):
        """Return the ``Reply`` of another helper that resumes the stream after ``last_id``."""
        if last_id is None:
            raise request_errors.EndpointFailed("the stream broke without a position to resume at")
        self._may_have_run += 1
        self._handle_failure(record.endpoint_id, error)
        return self.forward(last_id)

    def cancel_standby(self):
        """Do nothing: the helper looks after silent endpoints."""

    def record_progress(self):
        """Do nothing: the helper keeps the evidence on the answer."""

    def complete_attempt(self):
        """Do nothing: the helper keeps the evidence on the answer."""

    def finish_attempt(self, record):
        """Stop counting the request at a helper."""
        self._peers.end(record.endpoint_id)

    def _send(self, helper, resume_after):
        request = self._request
        now = time.monotonic()
        record = _make_record(helper)
        attempt = attempt_monitor.MonitoredAttempt(
            request.deadline,
            SILENCE_S,
            request.has_caller_left,
            lambda: not self._peers.is_helping(helper.node_id),
        )
        headers = self._peers.codec.encode_handed_over_headers(
            request.headers, request.deadline - now, resume_after
        )
        headers.append((HANDED_OVER_BY, self._peers.node_id))
        response = None
        self._may_have_run += 1
        try:
            response, metadata = self._peers.client.send(
                record,
                request.method,
                request.target,
                headers,
                request.body,
                attempt,
                fresh=not request.route.is_idempotent,
                before_sending=lambda: None,
                is_stream=request.route.is_stream,
            )
            self._check_response(response, metadata)
            if request.route.is_stream and response.status == 200:
                return self._begin_stream(record, response, resume_after)
            body = b"".join(response.chunks)
        except BaseException as e:
            if response is not None:
                response.chunks.close()
            if getattr(e, "certainly_not_run", False):
                self._may_have_run -= 1
            self._peers.end(helper.node_id)
            raise
        self._peers.end(helper.node_id)
        filtered = self._peers.codec.filter_response_headers(response.headers)
        return reply.Reply(response.status, filtered, body=body)

    def _check_response(self, response, metadata):
        """Raise unless the response is an endpoint's own.

        Raises
        ------
        errors.endpoint.EndpointRefused
            If the helper states that the request has not run.
        errors.request.RequestError
            If the helper has given it up.
        """
        # Nodes repeat the id in all that they answer, and endpoints in all that is sealed.
        if metadata.request_id != self._request.metadata.request_id:
            raise endpoint_errors.ResponseMismatch("the response belongs to another request")
        if metadata.is_sealed:
            return
        own_headers = {name.lower(): value for name, value in response.headers}
        executed = own_headers.get(EXECUTED)
        if executed == request_errors.EXECUTED_NO:
            self._record_retry_after(metadata.statements.retry_after_s)
            raise endpoint_errors.EndpointRefused(response.status)
        if executed is None:
            raise endpoint_errors.MalformedResponse("neither an endpoint's nor a node's response")
        message = f"the other node gave up with status {response.status}"
        if response.status == request_errors.DeadlineExceeded.status:
            raise request_errors.DeadlineExceeded(message)
        raise request_errors.EndpointFailed(message)

    def _record_retry_after(self, retry_after_s):
        if retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        if self._retry_after_s is None or retry_after_s < self._retry_after_s:
            self._retry_after_s = retry_after_s

    def _begin_stream(self, record, response, resume_after):
        last_id = resume_after
        if last_id is None:
            last_id = self._request.metadata.last_event_id
        buffer = event_buffer.EventBuffer(last_id)
        first_events = stream_relay.read_first_events(response, buffer)
        headers = self._peers.codec.filter_response_headers(response.headers)
        relay = stream_relay.StreamRelay(self, record, response, buffer, first_events)
        return reply.Reply(response.status, headers, stream=relay)

    def _handle_failure(self, node_id, error):
        """Return if another helper may be tried; otherwise raise the final ``RequestError``."""
        request = self._request
        if request.has_caller_left():
            raise request_errors.CallerDisconnected("the caller has closed its connection")
        now = time.monotonic()
        time_left_s = request.deadline - now
        may_retry = time_left_s >= retry_rules.MIN_TIME_LEFT_S
        if self._may_have_run:
            may_retry = may_retry and request.route.is_idempotent
            if may_retry and not error.certainly_not_run:
                may_retry = self._peers.try_acquire_retry(request.service, now)
        eliot.log_message(
            message_type=HANDOVER_FAILED,
            request_id=request.metadata.request_id,
            helper=node_id,
            error=error.type_name,
            detail=str(error)[:200],
            not_run=error.certainly_not_run,
            will_repeat=may_retry,
            time_left_s=round(time_left_s, 3),
        )
        if not may_retry:
            raise self._final_error(str(error)) from error

    def _final_error(self, message):
        if self._request.deadline <= time.monotonic():
            return request_errors.DeadlineExceeded("no response before the deadline")
        if self._may_have_run:
            return request_errors.EndpointFailed(message)
        return request_errors.Overloaded(
            message, retry_after_s=self._retry_after_s or DEFAULT_RETRY_AFTER_S
        )

    def _log_handed_over(self, helper, resume_after):
        eliot.log_message(
            message_type=HANDED_OVER,
            request_id=self._request.metadata.request_id,
            helper=helper.node_id,
            helper_requests=helper.requests,
            report_age_s=round(helper.report_age_s, 3),
            tried=len(self._tried) - 1,
            may_have_run=self._may_have_run,
            resume_after=resume_after,
        )


def _make_record(helper):
    """Return the record by which the client and its connection pool know a node."""
    return endpoint_record.EndpointRecord(
        endpoint_id=helper.node_id,
        service="",
        address=helper.address,
        data_centre="",
        slots=0,
        is_leaving=False,
        started_ms=0,
        heartbeat_number=0,
    )
