import dataclasses
import http.server
import threading

import pytest

from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.platform import health_client


@pytest.fixture
def answer():
    """Status and instance id with which a server answers; its port."""
    state = {"status": 200, "instance": "p1", "headers": {}}

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            state["request"] = (self.path, self.headers["X-Expect-Instance"])
            self.send_response(state["status"])
            if state["instance"] is not None:
                self.send_header("X-Instance-Id", state["instance"])
            for name, value in state["headers"].items():
                self.send_header(name, value)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    state["port"] = server.server_port
    yield state
    server.shutdown()
    server.server_close()


def check(answer):
    record = dataclasses.replace(
        dispatch_factories.make_plain_endpoint(1), address=f"127.0.0.1:{answer['port']}"
    )
    return health_client.PlatformHealthClient().check(record, "/health")


def test_a_healthy_endpoint_serves(answer):
    assert check(answer).is_serving
    assert answer["request"] == ("/health", "p1")


@pytest.mark.parametrize(("status", "instance"), [(503, "p1"), (200, "p2"), (421, "p2")])
def test_a_leaving_endpoint_or_another_one_does_not_count(answer, status, instance):
    """Guards against confirming an endpoint by the answer of its successor at the address."""
    answer.update(status=status, instance=instance)
    assert not check(answer).is_serving


@pytest.mark.parametrize(
    ("status", "instance", "headers", "retry_after_s"),
    [
        (503, "p1", {}, 2.5),
        (503, "p2", {}, None),
        (503, None, {"X-Not-Executed": "1"}, 2.5),
        (503, None, {}, None),
        (421, None, {"X-Not-Executed": "1"}, None),
    ],
)
def test_statements_are_those_of_the_endpoint(answer, status, instance, headers, retry_after_s):
    """Guards against an endpoint that is left alone because of another one's response."""
    answer.update(status=status, instance=instance, headers={"Retry-After": "2.5", **headers})
    assert check(answer).statements.retry_after_s == retry_after_s


def test_an_endpoint_without_a_process_raises(answer):
    answer["port"] = 1
    with pytest.raises(endpoint_errors.ConnectionRefused):
        check(answer)
