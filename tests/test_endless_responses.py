"""An engine whose answers never end: a node as a process, under calls of other clients."""

import itertools
import json
import multiprocessing
import re
import socket
import time

import pytest

from lynxlanding.transport.tests import endless_server
from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation

NODE = "n0"
ENDPOINTS = 3
HEARTBEAT_S = 0.6
CALLERS = 12
CALL_INTERVAL_S = 0.1
CALLS_S = 6.0
# Half of the time that callers give a request.
ANSWER_LIMIT_S = 2.0
MAX_GROWTH_KB = 150 * 1024

PARTS = {
    "small chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10000),
    "large chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n%b\r\n" % (b"x" * 65536)),
    "trailers": (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 10000),
    "body": (b"\r\n", endless_server.BLOCK),
    "known length": (b"Content-Length: %b\r\n\r\n" % endless_server.MAX_LENGTH, b"x" * 65536),
    "headers": (b"", b"A:\r\n" * 10000),
    "header": (b"A: ", endless_server.BLOCK),
    "interim responses": (b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
}


def serve_endlessly(listening, start, part):
    """Answer each request with a head that is the engine's own and bytes without end."""

    def respond(connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += connection.recv(65536)
        request_id = re.search(rb"(?i)x-request-id: *([^\r]*)", data)
        id_header = b"X-Request-Id: %b\r\n" % request_id[1] if request_id else b""
        head = endless_server.OK + id_header + b"X-Response-Seal: seal\r\n" + start
        connection.sendall(head)
        while True:
            connection.sendall(part)

    class Server(endless_server.EndlessServer):
        def _serve(self, connection, number):
            with connection:
                try:
                    self._respond(connection)
                except OSError:
                    return

    listening.send(Server(respond).port)
    listening.recv()


@pytest.fixture(params=PARTS)
def faulty_port(request):
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=serve_endlessly, args=(theirs, *PARTS[request.param]))
    process.start()
    yield ours.recv()
    process.kill()
    process.join()


@pytest.fixture
def site(tmp_path):
    with processes.Processes(tmp_path) as running:
        installation = calling_installation.CallingInstallation(
            running, 0, ENDPOINTS, HEARTBEAT_S, (NODE,)
        )
        installation.wait_ready()
        yield installation
        installation.stop()


def read_peak_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read())[1])


def test_other_clients_are_served_beside_an_endless_answer(site, faulty_port):
    """Guards against an endless answer that stops the node's other requests or fills its memory."""
    answers = []
    numbers = itertools.count()

    def call():
        started_at = time.monotonic()
        status, _, _ = site.send(NODE, "GET", "/look/x", f"q-{next(numbers)}")
        answers.append((status, time.monotonic() - started_at))

    before_kb = read_peak_kb(site.running.pid(NODE))
    entry = {"faulty": ("address", json.dumps(f"127.0.0.1:{faulty_port}"))}
    site.control(odd_entries=entry)
    for number in range(CALLERS):
        site.start_caller(call, CALL_INTERVAL_S, number / 100)
    time.sleep(CALLS_S)
    site.stop()
    with socket.create_connection(("127.0.0.1", faulty_port)):
        assert site.running.is_running(NODE)
    growth_kb = read_peak_kb(site.running.pid(NODE)) - before_kb
    log = (site.running.directory / f"{NODE}.log").read_text()
    assert "attempt_failed" in log, "the faulty engine was not used"
    assert "Traceback" not in log
    assert {status for status, _ in answers} == {200}
    assert max(duration_s for _, duration_s in answers) < ANSWER_LIMIT_S
    assert growth_kb < MAX_GROWTH_KB
    assert site.is_ready(NODE)
