"""Malformed, oversized, slow and half-closed requests against a running daemon."""

import json
import socket
import time
import urllib.parse

import numpy
import psutil
import pytest
import urllib3

from lynxlanding_bench import caller, fleet, processes

pytestmark = pytest.mark.multiprocess

REQUESTS = 1000
SEED = 20261203
# Allocator slack of an idle daemon; 1,000 kept bodies of 5 MB would be far above it.
MEMORY_MARGIN_BYTES = 64 << 20
VALID_BODY = json.dumps({"model": fleet.MODEL, "prompt": "a", "max_tokens": 2}).encode()


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    """One daemon with short limits and its process."""
    limits = {"idle_timeout_s": 2.0, "max_body_bytes": 1 << 20, "concurrency": 200}
    with processes.Processes(tmp_path_factory.mktemp("node")) as running:
        installation = fleet.Fleet(running, daemons=1, engines=1, request_settings=limits)
        installation.start()
        yield installation, psutil.Process(running.pid("node-0"))


def _connect(installation):
    address = urllib.parse.urlsplit(installation.daemon_url(0))
    return socket.create_connection((address.hostname, address.port), timeout=10)


def _exchange(installation, data, half_close=False):
    with _connect(installation) as connection:
        try:
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
        except OSError:
            # The node refused before it had read everything; its answer is there already.
            return _read_all(connection)
        return _read_all(connection)


def _read_all(connection):
    answer = b""
    while True:
        try:
            part = connection.recv(65536)
        except OSError:
            return answer
        if not part:
            return answer
        answer += part
        head, separator, body = answer.partition(b"\r\n\r\n")
        if separator and b"ontent-Length: %d\r" % len(body) in head + b"\r":
            return answer


def _post(body, *, length=None, headers=b"", path=b"/v1/completions"):
    size = len(body) if length is None else length
    return (
        b"POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer desk-secret\r\n"
        b"Content-Length: %d\r\n%s\r\n%s" % (path, size, headers, body)
    )


def _malformed(random_state):
    """Return one malformed request and the statuses that may answer it."""
    noise = random_state.bytes(int(random_state.integers(1, 200)))
    cases = [
        (_post(noise), {400}),
        (_post(b"{" * int(random_state.integers(1, 5000))), {400}),
        (_post(b"[" * 50_000), {400}),
        (_post(b'{"model": 7, "prompt": "a"}'), {400}),
        (_post(b'{"model": "desk-model", "prompt": {"a": 1}}'), {400}),
        (_post(b'{"model": "desk-model", "prompt": "a", "max_tokens": -1}'), {400}),
        (_post(b'{"model": "desk-model", "prompt": "a", "stream": "yes"}'), {400}),
        (_post(VALID_BODY, headers=b"X-Request-Timeout-Ms: soon\r\n"), {400}),
        (_post(VALID_BODY, headers=b"X-Request-Timeout-Ms: nan\r\n"), {400}),
        (_post(VALID_BODY, headers=b"X-Priority: 77\r\n"), {400}),
        (_post(b"x" * (2 << 20)), {413}),
        (_post(b"", length=10 << 30), {413}),
        (_post(VALID_BODY, headers=b"X-Large: " + b"a" * (64 << 10) + b"\r\n"), {400, 431}),
        (b"POST /v1/completions HTTP/1.1\r\nContent-Length: abc\r\n\r\n", {400}),
        (b"GET /v1/models HTTP/1.1\r\nbroken header\r\n\r\n", {400}),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", {400}),
        (
            _post(b"{}", path=b"/services/booking-app/book", headers=b"Idempotency-Key: a b\r\n"),
            {400},
        ),
        (_post(VALID_BODY, path=b"/services/%2e%2e/%00"), {404}),
    ]
    return cases[int(random_state.integers(len(cases)))]


def _wait_until_idle(installation):
    load_url = f"http://{processes.HOST}:{installation.engine_ports[0]}/load"
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        if urllib3.PoolManager().request("GET", load_url).json()["running"] == 0:
            return
        time.sleep(0.1)
    pytest.fail("the engine still runs a request whose caller has left")


def test_malformed_requests_get_typed_errors(node):
    """Guards against a crash, an untyped answer or kept memory after bad requests."""
    installation, process = node
    random_state = numpy.random.default_rng(SEED)
    before = process.memory_info().rss
    for index in range(REQUESTS):
        data, statuses = _malformed(random_state)
        answer = _exchange(installation, data)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head, (index, data[:200])
        status = int(head.split(b" ", 2)[1])
        assert status in statuses, (index, data[:200], head)
        error = json.loads(body)["error"]
        assert error["executed"] == "no", (index, data[:200])
        assert error["type"] in ("invalid_request", "body_too_large", "not_found")
    assert process.is_running()
    assert process.memory_info().rss - before < MEMORY_MARGIN_BYTES


def test_slow_and_half_closed_callers_do_not_block_others(node):
    """Guards against callers that keep a connection open without ever completing a request."""
    installation, _ = node
    slow = []
    for _ in range(100):
        connection = _connect(installation)
        connection.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{")
        slow.append(connection)
    for _ in range(50):
        _exchange(installation, b"POST /v1/completions HTTP/1.1\r\n", half_close=True)
    client = caller.Caller(installation.daemon_url(0), "desk-secret", urllib3.PoolManager())
    assert client.stream("quote", 5).result == caller.WHOLE
    deadline = time.monotonic() + 15
    for connection in slow:
        connection.settimeout(max(0.1, deadline - time.monotonic()))
        answer = _read_all(connection)
        assert answer.startswith(b"HTTP/1.1 408 "), answer
        assert connection.recv(1000) == b"", "an idle connection was kept open"
        connection.close()


def test_caller_that_leaves_frees_the_engine(node):
    """Guards against engine slots that stay taken after the caller has disconnected."""
    installation, _ = node
    body = {"model": fleet.MODEL, "prompt": "left", "max_tokens": 4000, "stream": True}
    connection = _connect(installation)
    connection.sendall(_post(json.dumps(body).encode()))
    assert connection.recv(1000)
    connection.close()
    _wait_until_idle(installation)


def test_whole_answer_caller_that_leaves_frees_the_engine(node):
    """Guards against work for a caller that left before any byte of the answer."""
    installation, _ = node
    body = {"model": fleet.MODEL, "prompt": "left early", "max_tokens": 1500}
    connection = _connect(installation)
    connection.sendall(_post(json.dumps(body).encode()))
    time.sleep(0.5)
    connection.close()
    _wait_until_idle(installation)
