"""Forwards one request: selects endpoints, sends attempts and relays the response."""

import json
import time

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import (
    caller_request,
    event_splitter,
    execution,
    execution_decisions,
    request_metrics,
    stream_body,
)
from lynxlanding.retry import classification


class RequestForwarder:
    """Forwards one request of a caller, with retries; used by one thread.

    Parameters
    ----------
    request : CallerRequest
        Request to forward.
    router : RoutingActor proxy
        Selects endpoints and counts the requests at them.
    client : EndpointClient
        Sends attempts.
    retry : RetryActor proxy
        Decides on retries.
    stall_timeout_s : float
        Time without data after which a stream is resumed at another endpoint, in seconds.
    ticket : ClaimTicket or None
        Claim of a request with an idempotency key.
    """

    def __init__(self, request, router, client, retry, stall_timeout_s, ticket=None):
        self._request = request
        self._router = router
        self._client = client
        self._retry = retry
        self._stream_stall_timeout_s = stall_timeout_s
        self._ticket = ticket
        self._target = (request.target_kind, request.target)
        self._execution = execution.Execution(
            request.request_id,
            self._target,
            request.deadline,
            idempotent=request.idempotent,
            echo_required=request.target_kind == caller_request.MODEL,
        )
        self._address = None
        self._attempt_id = None
        self._failed_addresses = []
        self._sent_at = None
        self._first_token_s = None

    def forward(self):
        """Forward the request and return status, headers and body.

        Returns
        -------
        tuple of (int, dict, list of bytes or StreamBody)
            A stream raises ``errors.request.RequestError`` if it cannot be completed.

        Raises
        ------
        errors.request.RequestError
            If the request is given up before its response has begun.
        """
        self._retry.record_request()
        try:
            return self._forward()
        except BaseException:
            # Also on a refusal: the endpoint must not stay counted as busy.
            self._release(failed=True)
            raise

    def _forward(self):
        response = self._send_until_response(self._execution.begin(time.monotonic()))
        while True:
            if self._request.stream and response.status == 200:
                parts = self._relay(response)
                # Before the first event, a failure can still be reported by the HTTP status.
                first = next(parts)
                body = stream_body.StreamBody(first, parts)
                return response.status, response.forwarded_headers(), body
            try:
                body = self._read_body(response)
                return response.status, response.forwarded_headers(), [body]
            except endpoint_errors.AttemptError as e:
                response = self._send_until_response(self._decide_after_failure(e))

    def _send_until_response(self, decision):
        """Send attempts until one receives a response that belongs to it."""
        while True:
            try:
                return self._send_attempt(decision)
            except endpoint_errors.AttemptError as e:
                decision = self._decide_after_failure(e)

    def _send_attempt(self, decision):
        request = self._request
        self._attempt_id = decision.attempt_id
        self._first_token_s = None
        self._address = self._router.choose(request, tuple(self._failed_addresses)).get()
        if self._address is None:
            self._raise_refusal(self._execution.on_no_endpoint(time.monotonic()))
        headers = {
            **request.headers,
            "X-Request-Id": request.request_id,
            "X-Attempt-Id": decision.attempt_id,
            "X-Priority": str(request.priority),
        }
        if decision.last_event_id is not None:
            headers["Last-Event-ID"] = str(decision.last_event_id)
        # There is no blocking call between this check and the send.
        if self._ticket is not None and not self._ticket.may_send():
            self._raise_refusal(self._execution.on_send_denied(time.monotonic()))
        self._sent_at = time.monotonic()
        time_left_s = request.deadline - self._sent_at
        headers["X-Request-Timeout-Ms"] = str(max(1, int(time_left_s * 1000)))
        response = self._client.send(
            self._address,
            request.method,
            request.path,
            headers,
            request.body,
            request.deadline,
            self._choose_stall_timeout(time_left_s),
            fresh_connection=not request.idempotent,
            # A call that must not be executed twice is completed without its caller too: a repeated
            # request receives its outcome.
            has_caller_left=request.has_caller_left if request.idempotent else _never,
        )
        try:
            self._execution.on_response(
                decision.attempt_id, response.status, response.headers, response.retry_after_s
            )
        except endpoint_errors.AttemptError:
            response.chunks.close()
            raise
        return response

    def _choose_stall_timeout(self, time_left_s):
        if not self._request.idempotent:
            # Closing the connection would only turn a late response into an unknown outcome.
            return time_left_s
        if self._request.stream:
            return self._stream_stall_timeout_s
        # The endpoint sends nothing before the text is complete. Half of the time is left for a
        # retry.
        return max(self._stream_stall_timeout_s, time_left_s / 2)

    def _read_body(self, response):
        try:
            body = b"".join(response.chunks)
        finally:
            response.chunks.close()
        if not response.is_self_delimiting and self._request.target_kind == caller_request.MODEL:
            _validate_json(body)
        self._execution.on_body(self._attempt_id)
        self._finish_attempt()
        return body

    def _relay(self, response):
        try:
            while True:
                try:
                    yield from self._forward_events(response)
                    return
                except endpoint_errors.AttemptError as e:
                    response = self._resume(self._decide_after_failure(e))
        finally:
            # Also if the caller has disconnected, which closes this generator.
            response.chunks.close()
            self._release(failed=False, succeeded=False)
            request_metrics.DUPLICATE_EVENTS.add(self._execution.duplicates)

    def _resume(self, decision):
        while True:
            response = self._send_until_response(decision)
            if response.status == 200:
                return response
            response.chunks.close()
            error = endpoint_errors.MalformedResponse(f"status {response.status} on resuming")
            decision = self._decide_after_failure(error)

    def _forward_events(self, response):
        splitter = event_splitter.EventSplitter()
        is_first = True
        try:
            for chunk in response.chunks:
                if splitter.is_empty and self._execution.on_chunk(self._attempt_id, chunk):
                    if is_first:
                        is_first = False
                        self._record_response_time()
                    yield chunk
                    continue
                forward = self._execution.on_events(self._attempt_id, splitter.feed(chunk))
                if is_first and forward.events:
                    is_first = False
                    self._first_token_s = time.monotonic() - self._sent_at
                    self._record_response_time()
                if forward.events:
                    if forward.done:
                        self._finish_attempt(is_time_recorded=True)
                    yield b"\n\n".join(forward.events) + b"\n\n"
                if forward.done:
                    _drain_body(response)
                    return
        finally:
            response.chunks.close()
        raise endpoint_errors.ResponseTruncated("the stream ended without [DONE]")

    def _decide_after_failure(self, error):
        request_metrics.ATTEMPTS.add(1, {"result": error.type_name})
        if isinstance(error, endpoint_errors.ResponseMismatch):
            request_metrics.DROPPED_RESPONSES.add(1)
        failure = classification.classify(error)
        if self._ticket is not None and not failure.may_have_run:
            self._ticket.mark_not_run()
        self._failed_addresses.append(self._address)
        self._release(failed=failure.endpoint_fault)
        decision = self._execution.on_failure(self._attempt_id, error, time.monotonic())
        if isinstance(decision, execution_decisions.AskRetry) and self._request.has_caller_left():
            decision = self._execution.refuse(time.monotonic())
        if isinstance(decision, execution_decisions.AskRetry):
            now = time.monotonic()
            retry_decision = self._retry.decide(decision.query, now).get()
            kind = "resume" if decision.query.resumes else "retry"
            request_metrics.RETRIES.add(1, {"kind": kind, "answer": retry_decision})
            decision = self._execution.on_retry_decision(retry_decision, now)
        if isinstance(decision, execution_decisions.Refuse):
            self._raise_refusal(decision)
        return decision

    def _raise_refusal(self, decision):
        error = decision.error
        request_metrics.REFUSALS.add(1, {"type": error.type_name, "executed": error.executed})
        raise error

    def _finish_attempt(self, is_time_recorded=False):
        request_metrics.ATTEMPTS.add(1, {"result": "ok"})
        if not is_time_recorded:
            self._record_response_time()
            if self._request.target_kind == caller_request.SERVICE:
                self._first_token_s = time.monotonic() - self._sent_at
        self._release(failed=False)

    def _record_response_time(self):
        self._retry.record_success(self._target, time.monotonic() - self._sent_at)

    def _release(self, failed, succeeded=True):
        if self._address is None:
            return
        self._router.end_attempt(
            self._request.request_id,
            self._address,
            failed=failed,
            first_token_s=self._first_token_s,
            succeeded=succeeded,
        )
        self._address = None


def _validate_json(body):
    """Check a body that ended with the connection and may therefore be truncated."""
    try:
        json.loads(body)
    except ValueError as e:
        raise endpoint_errors.ResponseTruncated("the body is not whole") from e


def _never():
    return False


def _drain_body(response):
    """Read the rest of a complete stream, so that its connection can be reused."""
    try:
        for _ in response.chunks:
            continue
    except endpoint_errors.AttemptError:
        # The caller has received the complete stream; only the connection cannot be reused.
        return
