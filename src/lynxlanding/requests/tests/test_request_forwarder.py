"""Forwarding over real connections to scripted endpoints."""

import re
import socket
import threading
import time

import pytest

from lynxlanding.errors import request as request_errors
from lynxlanding.requests import (
    attempt_monitor,
    caller_request,
    endpoint_client,
    monitored_connection,
    request_forwarder,
)
from lynxlanding.retry import retry_actor

EVENTS = [b'id: %d\ndata: {"token": %d}\n\n' % (i, i) for i in range(4)]
DONE = b"data: [DONE]\n\n"
STREAM = "text/event-stream"


class ScriptedEndpoint:
    """Responds to each connection with the next script, which receives the request head."""

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.request_heads = []
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        for script in self._scripts:
            connection, _ = self._listener.accept()
            with connection:
                head = connection.recv(65536).decode()
                self.request_heads.append(head)
                connection.sendall(script(head))

    def close(self):
        self._thread.join(5.0)
        self._listener.close()


def _reply(body, content_type="application/json", status=200, length=None, **extra_headers):
    """Return a script that echoes the request ids unless ``extra_headers`` replaces them."""

    def script(head):
        identity = dict(re.findall(r"(?i)(x-(?:request|attempt)-id): (\S+)", head))
        identity.update({name.replace("_", "-"): value for name, value in extra_headers.items()})
        lines = [f"HTTP/1.1 {status} Status", f"Content-Type: {content_type}"]
        lines += [f"{name}: {value}" for name, value in identity.items()]
        if length is not False:
            lines.append(f"Content-Length: {len(body) if length is None else length}")
        return "\r\n".join([*lines, "Connection: close", "", ""]).encode() + body

    return script


class ListRouter:
    """Selects the addresses in order and counts the requests in flight."""

    def __init__(self, addresses):
        self._addresses = addresses
        self.in_flight = 0

    def choose(self, request, excluded):
        remaining = [address for address in self._addresses if address not in excluded]
        self.in_flight += bool(remaining)
        return _ResolvedFuture(remaining[0] if remaining else None)

    def end_attempt(self, request_id, address, failed, first_token_s=None, succeeded=True):
        self.in_flight -= 1


class _ResolvedFuture:
    def __init__(self, value):
        self._value = value

    def get(self):
        return self._value


@pytest.fixture
def run():
    """Return a function that forwards a request to scripted endpoints."""
    endpoints = []
    retry = retry_actor.RetryActor.start()

    def start(*scripts, stream=False, kind=caller_request.MODEL, has_caller_left=False):
        for script in scripts:
            endpoints.append(ScriptedEndpoint([script]))
        router = ListRouter([endpoint.address for endpoint in endpoints])
        now = time.monotonic()
        request = caller_request.CallerRequest(
            request_id="r1",
            workspace="north",
            target_kind=kind,
            target="m",
            method="POST",
            path="/v1/completions",
            headers={},
            body=b"{}",
            received_at=now,
            deadline=now + 5.0,
            idempotent=kind == caller_request.MODEL,
            idempotency_key=None,
            priority=5,
            stream=stream,
            prompt=b"",
            has_caller_left=lambda: has_caller_left,
        )
        client = endpoint_client.EndpointClient(
            monitored_connection.make_pool_manager(), attempt_monitor.AttemptMonitor()
        )
        forwarder = request_forwarder.RequestForwarder(request, router, client, retry.proxy(), 2.0)
        try:
            status, _, body = forwarder.forward()
            return status, b"".join(body), endpoints
        finally:
            assert router.in_flight == 0

    yield start
    for endpoint in endpoints:
        socket.create_connection(endpoint.address.split(":")).close()
        endpoint.close()
    retry.stop()


COMPLETE = _reply(b'{"text": "whole"}')


@pytest.mark.parametrize(
    "faulty",
    [
        _reply(b'{"text": "who', length=17),
        _reply(b'{"text": "who', length=False),
        _reply(b'{"text": "other"}', X_Request_Id="r2"),
        _reply(b'{"text": "late"}', X_Attempt_Id="r1-7"),
        _reply(b"{}", status=500),
        _reply(b"{}", status=503, X_Executed="no"),
        lambda head: b"",
        lambda head: b"garbage\r\n\r\n",
    ],
)
def test_faulty_response_is_replaced(run, faulty):
    """Guards against forwarding truncated, swapped and failed responses to the caller."""
    status, body, endpoints = run(faulty, COMPLETE)
    assert (status, body) == (200, b'{"text": "whole"}')
    assert "X-Attempt-Id: r1-1" in endpoints[1].request_heads[0]


def test_stream_resumes_after_the_last_event(run):
    """Guards against lost and duplicate tokens when a stream is resumed at another endpoint."""
    # Chunked like the responses of engines. If a body with a content length breaks off, the client
    # may discard the received part, and then the stream restarts from its first event.
    complete_chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in EVENTS[:2])
    broken_chunk = b"ff\r\n" + EVENTS[2][:5]
    first = _reply(
        complete_chunks + broken_chunk, STREAM, length=False, Transfer_Encoding="chunked"
    )
    second = _reply(b"".join(EVENTS[1:]) + DONE, STREAM)
    status, body, endpoints = run(first, second, stream=True)
    assert (status, body) == (200, b"".join(EVENTS) + DONE)
    assert "Last-Event-ID: 1" in endpoints[1].request_heads[0]


def test_stream_that_cannot_start_is_refused(run):
    """Guards against starting a response to a request that was certainly not executed."""
    refusal = _reply(b"{}", status=503, X_Executed="no", Retry_After="7")
    with pytest.raises(request_errors.Overloaded) as caught:
        run(refusal, refusal, stream=True)
    assert (caught.value.executed, caught.value.retry_after_s) == ("no", 7.0)


def test_no_retry_after_the_caller_has_left(run):
    """Guards against work whose result nobody receives."""
    with pytest.raises(request_errors.EndpointFailed):
        run(lambda head: b"", COMPLETE, has_caller_left=True)


def test_call_that_may_have_run_is_not_sent_again(run):
    """Guards against a second execution of a call without an idempotency key."""
    with pytest.raises(request_errors.EndpointFailed) as caught:
        run(lambda head: b"", COMPLETE, kind=caller_request.SERVICE)
    assert caught.value.executed == "unknown"
