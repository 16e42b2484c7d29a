"""Calls to endpoints and to the store end, whatever is sent instead of a response."""

import dataclasses
import resource
import threading

import pytest

from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import engine_client, health_client, object_client
from lynxlanding.replicas import engine_order, order_outcome
from lynxlanding.transport.tests import endless_server

# Some times the limit of each call. A call that goes on is left to its daemon thread.
CALL_LIMIT_S = 4 * engine_client.ORDER_TIMEOUT_S
STORE_LIMIT_S = 8.0
MAX_GROWTH_KB = 100 * 1024


def run_with_limit(call, limit_s):
    """Run a call in a thread and return its result or error; fail if it does not end in time."""
    results = []

    def run():
        try:
            results.append(call())
        except (endpoint_errors.AttemptError, platform_errors.PlatformError) as e:
            results.append(e)

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(limit_s)
    assert results, "the call goes on"
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb < MAX_GROWTH_KB
    return results[0]


def make_record(server):
    return dataclasses.replace(
        dispatch_factories.make_plain_endpoint(1), address=f"127.0.0.1:{server.port}"
    )


@pytest.mark.parametrize("respond", endless_server.ALL, ids=lambda item: item.__name__)
def test_health_checks_end(respond):
    """Guards against a check that reads without end or ends its thread, as for a huge length."""
    with endless_server.EndlessServer(respond) as server:
        client = health_client.PlatformHealthClient()
        record = make_record(server)
        result = run_with_limit(lambda: client.check(record, "/health"), CALL_LIMIT_S)
    assert isinstance(result, endpoint_errors.AttemptTimedOut)


@pytest.mark.parametrize("respond", endless_server.ALL, ids=lambda item: item.__name__)
def test_reports_and_orders_end(respond):
    """Guards against a call that reads without end or ends its thread, as for a huge length."""
    order = engine_order.EngineOrder("leave", "p1", group="g", epoch=1)
    with endless_server.EndlessServer(respond) as server:
        client = engine_client.PlatformEngineClient()
        record = make_record(server)
        report = run_with_limit(lambda: client.fetch_report(record), CALL_LIMIT_S)
        outcome = run_with_limit(lambda: client.send_order(record, order), CALL_LIMIT_S)
    assert isinstance(report, endpoint_errors.AttemptError)
    assert outcome == order_outcome.UNKNOWN


@pytest.mark.parametrize("respond", endless_server.ALL, ids=lambda item: item.__name__)
def test_calls_of_the_store_end(respond):
    """Guards against a call that reads without end or ends its thread, as for a huge length."""
    with endless_server.EndlessServer(respond) as server:
        store = object_client.PlatformObjectStore(f"127.0.0.1:{server.port}")
        result = run_with_limit(lambda: store.list("servers"), STORE_LIMIT_S)
    assert isinstance(result, platform_errors.StoreUnavailable)
