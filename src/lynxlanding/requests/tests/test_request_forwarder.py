"""Attempts over real connections to scripted endpoints."""

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
    """Answers each connection with the next script, which gets the request's head."""

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.heads = []
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        for script in self._scripts:
            connection, _ = self._listener.accept()
            with connection:
                head = connection.recv(65536).decode()
                self.heads.append(head)
                connection.sendall(script(head))

    def close(self):
        self._thread.join(5.0)
        self._listener.close()


def _reply(body, content_type="application/json", status=200, length=None, **changed):
    """Return a script whose identity headers are echoed unless ``changed`` replaces them."""

    def script(head):
        identity = dict(re.findall(r"(?i)(x-(?:request|attempt)-id): (\S+)", head))
        identity.update({name.replace("_", "-"): value for name, value in changed.items()})
        lines = [f"HTTP/1.1 {status} Status", f"Content-Type: {content_type}"]
        lines += [f"{name}: {value}" for name, value in identity.items()]
        if length is not False:
            lines.append(f"Content-Length: {len(body) if length is None else length}")
        return "\r\n".join([*lines, "Connection: close", "", ""]).encode() + body

    return script


class ListRouter:
    """Chooses the addresses in order and counts what is in flight."""

    def __init__(self, addresses):
        self._addresses = addresses
        self.in_flight = 0

    def choose(self, request, excluded):
        left = [address for address in self._addresses if address not in excluded]
        self.in_flight += bool(left)
        return _Now(left[0] if left else None)

    def release(self, request_id, address, failed, first_token_s=None, succeeded=True):
        self.in_flight -= 1


class _Now:
    def __init__(self, value):
        self._value = value

    def get(self):
        return self._value


@pytest.fixture
def run():
    """Return a function that runs a request at scripted endpoints."""
    endpoints = []
    retry = retry_actor.RetryActor.start()

    def start(*scripts, stream=False, kind=caller_request.MODEL, has_left=False):
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
            has_caller_left=lambda: has_left,
        )
        client = endpoint_client.EndpointClient(
            monitored_connection.make_manager(), attempt_monitor.AttemptMonitor()
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


WHOLE = _reply(b'{"text": "whole"}')


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
    """Guards against truncated, swapped and failed responses that reach the caller."""
    status, body, endpoints = run(faulty, WHOLE)
    assert (status, body) == (200, b'{"text": "whole"}')
    assert "X-Attempt-Id: r1-1" in endpoints[1].heads[0]


def test_stream_resumes_after_the_last_event(run):
    """Guards against lost and doubled tokens when a stream moves to another endpoint."""
    # Chunks, as engines send them: of a body with a length, the client may drop the received part
    # of a broken read, and then the stream starts again from its first event.
    whole_chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in EVENTS[:2])
    broken_chunk = b"ff\r\n" + EVENTS[2][:5]
    first = _reply(whole_chunks + broken_chunk, STREAM, length=False, Transfer_Encoding="chunked")
    second = _reply(b"".join(EVENTS[1:]) + DONE, STREAM)
    status, body, endpoints = run(first, second, stream=True)
    assert (status, body) == (200, b"".join(EVENTS) + DONE)
    assert "Last-Event-ID: 1" in endpoints[1].heads[0]


def test_stream_that_cannot_start_is_refused(run):
    """Guards against a started response for a request that certainly did not run."""
    refusal = _reply(b"{}", status=503, X_Executed="no", Retry_After="7")
    with pytest.raises(request_errors.Overloaded) as caught:
        run(refusal, refusal, stream=True)
    assert (caught.value.executed, caught.value.retry_after_s) == ("no", 7.0)


def test_nothing_is_retried_for_a_caller_that_left(run):
    """Guards against work for nobody."""
    with pytest.raises(request_errors.EndpointFailed):
        run(lambda head: b"", WHOLE, has_left=True)


def test_call_that_may_have_run_is_not_sent_again(run):
    """Guards against a second execution of a call without a key."""
    with pytest.raises(request_errors.EndpointFailed) as caught:
        run(lambda head: b"", WHOLE, kind=caller_request.SERVICE)
    assert caught.value.executed == "unknown"
