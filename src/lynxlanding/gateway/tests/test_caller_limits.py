"""Limits on callers at a server with sockets."""

import socket
import threading
import time
import types

import pytest

from lynxlanding.gateway import caller_guard, caller_server, http_server
from lynxlanding.traffic import limits as caller_limits
from lynxlanding.transport import memory_budget

SETTINGS = types.SimpleNamespace(
    concurrency=4, max_body_bytes=1 << 20, max_header_bytes=4096, idle_timeout_s=30.0
)
BUDGET_BYTES = 4 << 20
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n"


def make_limits(**changes):
    values = {
        "max_header_bytes": 4096,
        "max_body_bytes": 1 << 20,
        "header_timeout_s": 30.0,
        "idle_timeout_s": 30.0,
    }
    return caller_limits.CallerLimits(**{**values, **changes})


class Served:
    """A server with an application that counts requests and echoes the length of their body."""

    def __init__(self, max_descriptors=None):
        self.limits = make_limits()
        self.requests = []
        self.answer = None
        self.delay_s = 0.0
        self.guard = caller_guard.CallerGuard(
            memory_budget.MemoryBudget(BUDGET_BYTES),
            lambda: self.limits,
            max_descriptors,
            echoes_request_id=True,
        )
        self._server = http_server.create(self._run, "127.0.0.1", 0, SETTINGS, guard=self.guard)
        threading.Thread(target=self._server.run, daemon=True).start()

    def connect(self):
        return socket.create_connection(("127.0.0.1", self._server.effective_port), timeout=8.0)

    def connect_all(self, count, data):
        """Return callers that have sent the data, one after the other."""
        callers = []
        for _ in range(count):
            caller = self.connect()
            caller.sendall(data)
            callers.append(caller)
        return callers

    def exchange(self, data):
        """Return what a caller receives until the end; raises on a reset."""
        with self.connect() as caller:
            caller.sendall(data)
            return read_all(caller)

    def close(self):
        self._server.close()

    def _run(self, environ, start_response):
        body = environ["wsgi.input"].read()
        if self.delay_s:
            time.sleep(self.delay_s)
        self.requests.append((environ["PATH_INFO"], len(body)))
        answer = b"%d" % len(body) if self.answer is None else self.answer
        start_response("200 OK", [("Content-Length", str(len(answer)))])
        return [answer]


def read_all(caller):
    received = b""
    while data := caller.recv(65536):
        received += data
    return received


@pytest.fixture
def served():
    running = Served()
    yield running
    running.close()


def wait_for(condition):
    end = time.monotonic() + 8.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 2000000\r\n\r\n" + b"x" * 2_000_000, b"413"),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"ffff\r\n%b\r\n" % (b"x" * 65535) * 40,
            b"413",
        ),
        (HEAD + b"X-A: " + b"a" * 500_000, b"431"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + b"x" * 500_000, b"400"),
    ],
)
def test_refusal_is_not_hidden_by_a_reset(served, data, status):
    """Guards against a refusal that its caller, who still sends, does not get to see."""
    received = served.exchange(data)
    assert received.split(b" ", 2)[1] == status
    assert b"X-Executed: no" in received
    assert served.requests == []


def test_refusal_carries_the_id_of_the_caller(served):
    """Guards against a refusal that cannot be told to belong to a request."""
    received = served.exchange(HEAD + b"Content-Length: 2000000\r\n\r\n")
    assert b"X-Request-Id: r-1\r\n" in received


def test_limits_change_at_run_time(served):
    """Guards against limits that are read only at the start."""
    request = HEAD + b"Content-Length: 1000\r\nConnection: close\r\n\r\n" + b"x" * 1000
    assert b" 200 " in served.exchange(request)
    served.limits = make_limits(max_body_bytes=999)
    assert b" 413 " in served.exchange(request)


def test_late_headers_and_bodies_are_refused(served):
    """Guards against requests that never end and keep their connection."""
    served.limits = make_limits(header_timeout_s=0.2)
    assert b" 408 " in served.exchange(HEAD)
    served.limits = make_limits(idle_timeout_s=0.2)
    assert b" 408 " in served.exchange(HEAD + b"Content-Length: 5\r\n\r\nab")
    assert served.guard.total(caller_guard.HEADER_TIMEOUT) == 1
    assert served.guard.total(caller_guard.BODY_TIMEOUT) == 1
    assert served.requests == []


def test_stalled_bodies_make_room_for_one_that_arrives(served):
    """Guards against stalled bodies that fill the memory for good."""
    callers = [served.connect() for _ in range(8)]
    for caller in callers:
        caller.sendall(HEAD + b"Content-Length: 1000000\r\n\r\n" + b"x" * 999_000)
    wait_for(lambda: served.guard.total(caller_guard.NO_MEMORY) >= 4)
    assert served.guard.budget.held_bytes <= BUDGET_BYTES
    request = HEAD + b"Content-Length: 1000000\r\nConnection: close\r\n\r\n" + b"x" * 1_000_000
    assert served.exchange(request).endswith(b"\r\n\r\n1000000")
    statuses = []
    for caller in callers:
        caller.settimeout(0.3)
        try:
            statuses.append(caller.recv(4096).split(b" ", 2)[1])
        except TimeoutError:
            statuses.append(b"")
        caller.close()
    assert set(statuses) <= {b"", b"503"}
    assert b"503" in statuses
    wait_for(lambda: served.guard.budget.held_bytes == 0)


def test_unread_answers_count_toward_the_budget(served):
    """Guards against callers that do not read and fill the memory with their answers."""
    served.answer = b"x" * (3 << 20)
    callers = []
    for _ in range(8):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(served.connect().getpeername())
        caller.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 4)
        callers.append(caller)
    wait_for(lambda: served.guard.total(caller_guard.NO_MEMORY) >= 1)
    assert served.guard.budget.held_bytes <= BUDGET_BYTES
    for caller in callers:
        caller.close()
    wait_for(lambda: served.guard.budget.held_bytes == 0)


def test_pipelined_requests_are_answered_in_order(served):
    """Guards against requests that are lost while earlier ones of the connection run."""
    requests = b"".join(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(300))
    last = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    received = served.exchange(requests + last)
    assert received.count(b"HTTP/1.1 200 ") == 301
    assert [path for path, _ in served.requests] == [f"/{i}" for i in range(300)] + ["/last"]


def test_refusal_follows_the_answers_to_earlier_requests(served):
    """Guards against a refusal that takes the place of the answer to a request that has run."""
    received = served.exchange(
        b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + HEAD + b"Content-Length: 2000000\r\n\r\n"
    )
    assert received.index(b" 200 ") < received.index(b" 413 ")
    assert served.requests == [("/1", 0)]


def test_silent_connections_make_room():
    """Guards against connections without requests that keep ordinary callers out."""
    running = Served(max_descriptors=256)
    silent = [running.connect() for _ in range(100)]
    request = HEAD + b"Content-Length: 3\r\nConnection: close\r\n\r\nabc"
    assert running.exchange(request).endswith(b"\r\n\r\n3")
    assert running.guard.total(caller_guard.NO_DESCRIPTOR) >= 36
    for caller in silent:
        caller.close()
    running.close()


def test_last_connection_gives_none_up():
    """Guards against callers whose connections are closed although no other one waits."""
    running = Served(max_descriptors=0)
    running.delay_s = 0.005
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n"
    data = (request + b"\r\n") * 11 + request + b"Connection: close\r\n\r\n"
    callers = running.connect_all(http_server.MIN_CONNECTIONS, data)
    for caller in callers:
        assert read_all(caller).count(b" 200 OK") == 12
        caller.close()
    running.close()
    assert running.guard.total(caller_guard.NO_DESCRIPTOR) == 0


def test_requests_that_wait_to_be_read_are_kept():
    """Guards against new connections that are closed before their request has been read."""
    running = Served(max_descriptors=0)
    running.delay_s = 0.02
    request = HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nxy"
    callers = running.connect_all(2 * http_server.MIN_CONNECTIONS, request)
    for caller in callers:
        assert read_all(caller).endswith(b"\r\n\r\n2")
        caller.close()
    running.close()
    assert running.guard.total(caller_guard.NO_DESCRIPTOR) == 0


def test_pipelined_requests_make_room():
    """Guards against connections that are never idle and keep new callers out."""
    running = Served(max_descriptors=0)
    running.delay_s = 0.02
    request = b"GET /crowd HTTP/1.1\r\nHost: h\r\n"
    data = (request + b"\r\n") * 99 + request + b"Connection: close\r\n\r\n"
    crowd = running.connect_all(http_server.MIN_CONNECTIONS, data)
    wait_for(lambda: len(running.requests) > 2 * http_server.MIN_CONNECTIONS)
    answer = running.exchange(HEAD + b"Content-Length: 2\r\nConnection: close\r\n\r\nxy")
    assert answer.endswith(b"\r\n\r\n2")
    running.delay_s = 0.0
    counts = []
    for caller in crowd:
        *answers, last = read_all(caller).split(b"HTTP/1.1 ")[1:]
        caller.close()
        # The announced end tells the caller that its further requests have not run.
        assert b"Connection: close" in last
        assert last.endswith(b"\r\n\r\n0")
        assert not any(b"Connection: close" in answer for answer in answers)
        counts.append(len(answers) + 1)
    running.close()
    assert sum(counts) == len(running.requests) - 1
    assert 1 <= sum(count < 100 for count in counts) <= 2 * caller_server.GIVEN_UP_AT_ONCE


def test_exceeded_limits_are_logged_in_few_lines(log_messages):
    """Guards against a line for each request of a crowd."""
    # Eliot hands the lines of earlier tests to the first destination.
    log_messages.clear()
    now = [0.0]
    guard = caller_guard.CallerGuard(
        memory_budget.MemoryBudget(BUDGET_BYTES), make_limits, clock=lambda: now[0]
    )
    for _ in range(1000):
        now[0] += 0.01
        guard.record(caller_guard.BODY_TOO_LARGE)
    lines = [item for item in log_messages if item["message_type"] == caller_guard.LIMIT_EXCEEDED]
    assert len(lines) <= 11
    assert guard.total(caller_guard.BODY_TOO_LARGE) == 1000


def test_budget_follows_the_memory_of_the_vm():
    """Guards against a budget that the smallest VM does not have, or that no body fits in."""
    assert caller_guard.budget_bytes(152) == 32 << 20
    assert caller_guard.budget_bytes(64) == 16 << 20
