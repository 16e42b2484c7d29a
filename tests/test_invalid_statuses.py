"""An engine whose answers have a status that does not exist, at a node as a process."""

import contextlib
import itertools
import json
import re
from concurrent import futures

import pytest

from lynxlanding.transport.tests import threaded_server
from lynxlanding_bench import processes
from lynxlanding_bench.site_day import calling_installation, site_installation

NODE = "n0"
ENDPOINTS = 2
HEARTBEAT_S = 0.6
CALLERS = 12
STATUSES = ("000", "099", "600", "999", "20", "2000")


class FaultyServer(threaded_server.ThreadedServer):
    """Answers each request as its endpoint would, but with another status."""

    def __init__(self, status):
        self._status = status
        self.requests = 0
        super().__init__()

    def _serve(self, connection, _number):
        with connection, contextlib.suppress(OSError):
            data = connection.recv(65536)
            if not data.startswith(b"POST "):
                return
            self.requests += 1
            request_id = re.search(rb"(?i)x-request-id: *([^\r]*)", data)
            head = b"HTTP/1.1 %b Odd\r\nX-Response-Seal: seal\r\n" % self._status.encode()
            if request_id:
                head += b"X-Request-Id: %b\r\n" % request_id[1]
            body = b"not an answer"
            connection.sendall(head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with processes.Processes(tmp_path_factory.mktemp("site")) as running:
        installation = calling_installation.CallingInstallation(
            running, 0, ENDPOINTS, HEARTBEAT_S, (NODE,)
        )
        installation.wait_ready()
        yield installation
        installation.stop()


@pytest.mark.parametrize("status", STATUSES)
def test_invalid_status_does_not_reach_a_caller(site, status):
    """Guards against a status that does not exist as the answer of a node."""
    numbers = itertools.count()

    def call(_):
        request_id = f"s-{status}-{next(numbers)}"
        return site.send(NODE, "POST", "/book/x", request_id, b"b")

    with FaultyServer(status) as server, futures.ThreadPoolExecutor(CALLERS) as callers:
        address = json.dumps(f"127.0.0.1:{server.port}")
        site.control(odd_entries={f"faulty-{status}": ("address", address)})
        answers = []

        def is_used():
            answers.extend(callers.map(call, range(2 * CALLERS)))
            return server.requests > 0

        site_installation.wait_for(is_used, "the faulty engine is used")
    assert {answer[0] for answer in answers} <= {200, 502, 503, 504}
    assert not any(b"not an answer" in body for _, _, body in answers)
