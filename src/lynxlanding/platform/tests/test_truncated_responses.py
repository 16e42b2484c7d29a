"""No client takes a response whose connection ends inside its head for a whole one."""

import contextlib
import dataclasses
import time

import pytest

from lynxlanding.dispatch import connection_pool, endpoint_client, stall_tracker
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import (
    engine_client,
    health_client,
    object_client,
    request_headers,
    sockets,
)
from lynxlanding.platform.tests import test_boundary
from lynxlanding.replicas import engine_order, order_outcome
from lynxlanding.requests import attempt_monitor, monitored_connection
from lynxlanding.requests import endpoint_client as daemon_endpoint_client
from lynxlanding.transport.tests import endless_server

REFUSALS = (endpoint_errors.AttemptError, platform_errors.PlatformError)
RECORD = dispatch_factories.make_plain_endpoint(1)
BODY = b'{"items": [], "has_more": false, "current_rev": 1, "events": []}'
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\nX-Request-Id: q\r\nX-Response-Seal: s\r\n"
    b"Content-Length: %d\r\n\r\n" % (RECORD.endpoint_id.encode(), len(BODY))
)
# Library that builds connections whose responses are checked.
BUILDER = "transport/strict_connection.py"


def check_health(record):
    return health_client.PlatformHealthClient().check(record, "/health").is_serving


def fetch_report(record):
    return engine_client.PlatformEngineClient().fetch_report(record) is not None


def send_order(record):
    order = engine_order.EngineOrder("leave", "p1", group="g", epoch=1)
    outcome = engine_client.PlatformEngineClient().send_order(record, order)
    return outcome != order_outcome.UNKNOWN


def list_objects(record):
    object_client.PlatformObjectStore(record.address).list("servers")
    return True


def forward(record, is_stream=False):
    """Send a request as both requests of callers and handed-over ones are sent."""
    pool = connection_pool.ConnectionPool(sockets.OPTIONS)
    client = endpoint_client.EndpointClient(
        pool, attempt_monitor.AttemptMonitor(), request_headers, stall_tracker.StallTracker()
    )
    attempt = attempt_monitor.MonitoredAttempt(time.monotonic() + 5.0, 5.0, lambda: False)
    response, _ = client.send(
        record,
        "GET",
        "/x",
        [],
        b"",
        attempt,
        fresh=True,
        before_sending=lambda: None,
        is_stream=is_stream,
    )
    b"".join(response.chunks)
    return True


def forward_stream(record):
    return forward(record, is_stream=True)


def forward_from_daemon(record):
    client = daemon_endpoint_client.EndpointClient(
        monitored_connection.make_pool_manager(), attempt_monitor.AttemptMonitor()
    )
    deadline = time.monotonic() + 5.0
    response = client.send(
        record.address, "GET", "/x", {}, None, deadline, 5.0, fresh_connection=False
    )
    b"".join(response.chunks)
    return True


CALLS = (
    check_health,
    fetch_report,
    send_order,
    list_objects,
    forward,
    forward_stream,
    forward_from_daemon,
)


def succeeds(call, data):
    """Return whether a call takes ``data``, after which the connection ends, for an answer."""
    with endless_server.EndlessServer(lambda connection: connection.sendall(data)) as server:
        record = dataclasses.replace(RECORD, address=f"127.0.0.1:{server.port}")
        with contextlib.suppress(*REFUSALS):
            return call(record)
    return False


@pytest.mark.parametrize("call", CALLS, ids=lambda item: item.__name__)
def test_response_that_ends_inside_its_head_is_refused(call):
    """Guards against a cut head that counts as a success with an empty or short body."""
    assert succeeds(call, HEAD + BODY)
    for cut_at in range(1, len(HEAD)):
        assert not succeeds(call, HEAD[:cut_at]), HEAD[:cut_at]


def test_all_clients_check_their_responses():
    """Guards against a client that is built without the checks of responses."""
    violations = []
    for path in test_boundary.find_sources(test_boundary.PACKAGE_ROOT):
        name = str(path.relative_to(test_boundary.PACKAGE_ROOT))
        text = path.read_text()
        is_client = "PoolManager(" in text or "HTTPConnection(" in text or "urllib.request" in text
        if is_client and name != BUILDER:
            violations.append(name)
    assert violations == []
