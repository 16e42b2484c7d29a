"""Runs a request at the endpoints until its answer is complete or it is given up."""

import time

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import caller_request, event_splitter

MAX_ATTEMPTS = 3
REQUEST_ID = "x-request-id"
ATTEMPT_ID = "x-attempt-id"


class RequestRunner:
    """Chooses endpoints, sends attempts and checks their responses.

    Parameters
    ----------
    router : RoutingActor proxy
        Chooses and releases endpoints.
    client : EndpointClient
        Sends attempts.
    """

    def __init__(self, router, client):
        self._router = router
        self._client = client

    def run(self, request):
        """Run a request.

        Returns
        -------
        tuple of (int, dict, iterator of bytes)
            Status, headers and body. The body raises ``errors.request.RequestError`` if a
            stream cannot be completed.
        """
        failure = None
        for attempt in range(MAX_ATTEMPTS):
            if time.monotonic() >= request.deadline:
                break
            address = self._choose(request, failure)
            try:
                return self._attempt(request, address, attempt)
            except endpoint_errors.AttemptError as e:
                self._router.release(request.request_id, address, failed=True).get()
                failure = e
                if not (request.idempotent or e.certainly_not_run):
                    break
        raise _final_error(request, failure)

    def _choose(self, request, failure):
        address = self._router.choose(request).get()
        if address is None:
            if failure is not None:
                raise _final_error(request, failure)
            raise request_errors.NoEndpoint(
                f"no endpoint serves {request.target}", retry_after_s=1.0
            )
        return address

    def _attempt(self, request, address, attempt):
        attempt_id = f"{request.request_id}-{attempt}"
        timeout_s = request.deadline - time.monotonic()
        headers = {
            **request.headers,
            "X-Request-Id": request.request_id,
            "X-Attempt-Id": attempt_id,
            "X-Priority": str(request.priority),
            "X-Request-Timeout-Ms": str(max(1, int(timeout_s * 1000))),
        }
        response = self._client.send(
            address,
            request.method,
            request.path,
            headers,
            request.body,
            timeout_s,
            fresh_connection=not request.idempotent,
            has_caller_left=request.has_caller_left,
        )
        self._check(request, response, attempt_id)
        if request.stream and response.status == 200:
            body = self._relay_events(request, address, response)
            return response.status, response.headers, body
        body = b"".join(response.chunks)
        self._router.release(request.request_id, address, failed=False).get()
        return response.status, response.headers, [body]

    def _check(self, request, response, attempt_id):
        if response.headers.get("x-executed") == "no" and response.status in (429, 503):
            response.chunks.close()
            raise endpoint_errors.EndpointRefused(response.status)
        is_model = request.target_kind == caller_request.MODEL
        echoed = response.headers.get(REQUEST_ID, None if is_model else request.request_id)
        echoed_attempt = response.headers.get(ATTEMPT_ID, None if is_model else attempt_id)
        if echoed != request.request_id or echoed_attempt != attempt_id:
            response.chunks.close()
            raise endpoint_errors.ResponseMismatch("response to another request")
        if response.status >= 500 and is_model:
            response.chunks.close()
            raise endpoint_errors.MalformedResponse(f"status {response.status}")

    def _relay_events(self, request, address, response):
        splitter = event_splitter.EventSplitter()
        expected = 0
        failed = True
        try:
            for chunk in response.chunks:
                if splitter.is_empty and event_splitter.is_one_event(chunk, expected):
                    expected += 1
                    yield chunk
                    continue
                events = splitter.feed(chunk)
                for event in events:
                    if event == event_splitter.DONE:
                        failed = False
                        continue
                    if event_splitter.event_id(event) != expected:
                        raise endpoint_errors.EventGap(f"event {expected} is missing")
                    expected += 1
                if events:
                    yield b"\n\n".join(events) + b"\n\n"
            if failed:
                raise endpoint_errors.ResponseTruncated("the stream ended without [DONE]")
        except endpoint_errors.AttemptError as e:
            if time.monotonic() > request.deadline:
                raise request_errors.DeadlineExceeded("the stream passed its deadline") from e
            raise request_errors.EndpointFailed(f"the stream broke: {e.type_name}") from e
        finally:
            response.chunks.close()
            self._router.release(request.request_id, address, failed=failed)


def _final_error(request, failure):
    if failure is None:
        return request_errors.DeadlineExceeded(
            "the deadline passed before the request was sent", executed="no"
        )
    executed = "no" if failure.certainly_not_run else "unknown"
    if time.monotonic() >= request.deadline:
        return request_errors.DeadlineExceeded("the deadline passed", executed=executed)
    if failure.certainly_not_run:
        return request_errors.NoEndpoint(
            f"endpoints of {request.target} refused: {failure.type_name}", retry_after_s=1.0
        )
    return request_errors.EndpointFailed(f"the endpoint failed: {failure.type_name}")
