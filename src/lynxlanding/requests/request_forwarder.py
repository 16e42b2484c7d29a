"""Runs the attempts of one request."""

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


class RequestRun:
    """One request on its way through its attempts; used by one thread.

    Parameters
    ----------
    request : CallerRequest
        The request.
    router : RoutingActor proxy
        Chooses and releases endpoints.
    client : EndpointClient
        Sends attempts.
    retry : RetryActor proxy
        Permits retries.
    stall_s : float
        A stream without a byte for this long is resumed elsewhere, in seconds.
    ticket : ClaimTicket or None
        Claim of a keyed request.
    """

    def __init__(self, request, router, client, retry, stall_s, ticket=None):
        self._request = request
        self._router = router
        self._client = client
        self._retry = retry
        self._max_silence_s = stall_s
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

    def run(self):
        """Return status, headers and body.

        Returns
        -------
        tuple of (int, dict, list of bytes or StreamBody)
            A stream raises ``errors.request.RequestError`` if it cannot be completed.

        Raises
        ------
        errors.request.RequestError
            If the request is given up before any part of its response is known.
        """
        self._retry.count_request()
        try:
            return self._run()
        except BaseException:
            # A refusal, or a thread that ends: the endpoint must not stay counted as busy.
            self._release(failed=True)
            raise

    def _run(self):
        response = self._open(self._execution.begin(time.monotonic()))
        while True:
            if self._request.stream and response.status == 200:
                parts = self._relay(response)
                # Until the first event is there, a failure can still be an ordinary refusal.
                first = next(parts)
                body = stream_body.StreamBody(first, parts)
                return response.status, response.passed_headers(), body
            try:
                body = self._read(response)
                return response.status, response.passed_headers(), [body]
            except endpoint_errors.AttemptError as e:
                response = self._open(self._after_failure(e))

    def _open(self, decision):
        """Send attempts until one gets a response of its own."""
        while True:
            try:
                return self._attempt(decision)
            except endpoint_errors.AttemptError as e:
                decision = self._after_failure(e)

    def _attempt(self, decision):
        request = self._request
        self._attempt_id = decision.attempt_id
        self._first_token_s = None
        self._address = self._router.choose(request, tuple(self._failed_addresses)).get()
        if self._address is None:
            self._refuse(self._execution.on_no_endpoint(time.monotonic()))
        headers = {
            **request.headers,
            "X-Request-Id": request.request_id,
            "X-Attempt-Id": decision.attempt_id,
            "X-Priority": str(request.priority),
        }
        if decision.last_event_id is not None:
            headers["Last-Event-ID"] = str(decision.last_event_id)
        # Nothing that can block stands between this check and the send.
        if self._ticket is not None and not self._ticket.may_send():
            self._refuse(self._execution.on_send_denied(time.monotonic()))
        self._sent_at = time.monotonic()
        left_s = request.deadline - self._sent_at
        headers["X-Request-Timeout-Ms"] = str(max(1, int(left_s * 1000)))
        response = self._client.send(
            self._address,
            request.method,
            request.path,
            headers,
            request.body,
            request.deadline,
            self._stall_s(left_s),
            fresh_connection=not request.idempotent,
            # A call that must not be repeated runs to its end: its outcome is for the repeat.
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

    def _stall_s(self, left_s):
        if not self._request.idempotent:
            # Cutting the connection would only turn a late response into an unknown outcome.
            return left_s
        if self._request.stream:
            return self._max_silence_s
        # Nothing arrives before the whole text is generated; half of the time is left to a retry.
        return max(self._max_silence_s, left_s / 2)

    def _read(self, response):
        try:
            body = b"".join(response.chunks)
        finally:
            response.chunks.close()
        if not response.shows_its_end and self._request.target_kind == caller_request.MODEL:
            _check_json(body)
        self._execution.on_body(self._attempt_id)
        self._succeed()
        return body

    def _relay(self, response):
        try:
            while True:
                try:
                    yield from self._forward(response)
                    return
                except endpoint_errors.AttemptError as e:
                    response = self._reopen(self._after_failure(e))
        finally:
            # Also when the caller has left, which closes this generator.
            response.chunks.close()
            self._release(failed=False, succeeded=False)
            request_metrics.DUPLICATE_EVENTS.add(self._execution.duplicates)

    def _reopen(self, decision):
        while True:
            response = self._open(decision)
            if response.status == 200:
                return response
            response.chunks.close()
            error = endpoint_errors.MalformedResponse(f"status {response.status} on resuming")
            decision = self._after_failure(error)

    def _forward(self, response):
        splitter = event_splitter.EventSplitter()
        is_first = True
        try:
            for chunk in response.chunks:
                if splitter.is_empty and self._execution.on_chunk(self._attempt_id, chunk):
                    if is_first:
                        is_first = False
                        self._record_time()
                    yield chunk
                    continue
                forward = self._execution.on_events(self._attempt_id, splitter.feed(chunk))
                if is_first and forward.events:
                    is_first = False
                    self._first_token_s = time.monotonic() - self._sent_at
                    self._record_time()
                if forward.events:
                    if forward.done:
                        self._succeed(is_recorded=True)
                    yield b"\n\n".join(forward.events) + b"\n\n"
                if forward.done:
                    _read_to_end(response)
                    return
        finally:
            response.chunks.close()
        raise endpoint_errors.ResponseTruncated("the stream ended without [DONE]")

    def _after_failure(self, error):
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
            answer = self._retry.decide(decision.question, now).get()
            kind = "resume" if decision.question.resumes else "retry"
            request_metrics.RETRIES.add(1, {"kind": kind, "answer": answer})
            decision = self._execution.on_retry_answer(answer, now)
        if isinstance(decision, execution_decisions.Refuse):
            self._refuse(decision)
        return decision

    def _refuse(self, decision):
        error = decision.error
        request_metrics.REFUSALS.add(1, {"type": error.type_name, "executed": error.executed})
        raise error

    def _succeed(self, is_recorded=False):
        request_metrics.ATTEMPTS.add(1, {"result": "ok"})
        if not is_recorded:
            self._record_time()
            if self._request.target_kind == caller_request.SERVICE:
                self._first_token_s = time.monotonic() - self._sent_at
        self._release(failed=False)

    def _record_time(self):
        self._retry.record_success(self._target, time.monotonic() - self._sent_at)

    def _release(self, failed, succeeded=True):
        if self._address is None:
            return
        self._router.release(
            self._request.request_id,
            self._address,
            failed=failed,
            first_token_s=self._first_token_s,
            succeeded=succeeded,
        )
        self._address = None


def _check_json(body):
    """Check an engine's body that ended with its connection, perhaps too early."""
    try:
        json.loads(body)
    except ValueError as e:
        raise endpoint_errors.ResponseTruncated("the body is not whole") from e


def _never():
    return False


def _read_to_end(response):
    """Read the end of a complete stream, so that its connection can be used again."""
    try:
        for _ in response.chunks:
            continue
    except endpoint_errors.AttemptError:
        # The caller has the whole stream; only the connection is lost.
        return
