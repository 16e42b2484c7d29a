import random
import threading
import time

from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.fleet import endpoint_statements, health_check
from lynxlanding.node import confirmation_checker


class StubServingProxy:
    def __init__(self, records):
        self.records = records
        self.confirmed = []
        self.failed = []
        self.may_check_now = True

    def records_to_check(self):
        return dispatch_factories.CompletedFuture(self.records)

    def may_check(self, record, now):
        del record, now
        return dispatch_factories.CompletedFuture(self.may_check_now)

    def confirm(self, endpoint_id, started_ms):
        self.confirmed.append((endpoint_id, started_ms))
        return dispatch_factories.CompletedFuture(["change"])

    def record_failed_check(self, endpoint_id, started_ms, now):
        assert now <= time.monotonic()
        self.failed.append((endpoint_id, started_ms))
        return dispatch_factories.CompletedFuture(None)


class ScriptedClient:
    """Returns or raises one item of a script for each check."""

    def __init__(self, *script):
        self._script = list(script)
        self.calls = []
        self.recorded = []
        self.answered = threading.Event()

    def check(self, record, path):
        self.calls.append((record.endpoint_id, path))
        result = self._script.pop(0)
        if not self._script:
            self.answered.set()
        if isinstance(result, Exception):
            raise result
        return health_check.HealthCheck(
            result,
            200 if result else 503,
            endpoint_statements.EndpointStatements(retry_after_s=9.0),
        )


def make_checker(monkeypatch, client, health_path="/healthz"):
    monkeypatch.setattr(confirmation_checker, "CHECK_SPREAD_S", 0.0)
    serving = StubServingProxy([dispatch_factories.make_plain_endpoint(1)])
    received = []
    checker = confirmation_checker.ConfirmationChecker(
        serving,
        client,
        lambda service: health_path,
        lambda record, status, statements, now: client.recorded.append((status, statements)),
        received.append,
        random.Random(1),
    )
    return checker, serving, received


def wait_for(condition):
    end = time.monotonic() + 5.0
    while not condition() and time.monotonic() < end:
        time.sleep(0.005)
    assert condition()


def test_an_endpoint_that_says_that_it_serves_is_confirmed(monkeypatch, log_messages):
    checker, serving, received = make_checker(monkeypatch, ScriptedClient(True))
    checker.check_all()
    wait_for(lambda: received == [["change"]])
    assert serving.confirmed == [("p1", 1)]
    assert serving.failed == []
    assert log_messages[-1]["is_serving"]


def test_an_endpoint_that_is_leaving_or_gone_is_not_confirmed(monkeypatch, log_messages):
    """Guards against requests to an endpoint that a late heartbeat has brought back."""
    monkeypatch.setattr(confirmation_checker, "CHECK_INTERVAL_S", 0.0)
    client = ScriptedClient(False, endpoint_errors.ConnectionRefused("refused"))
    checker, serving, received = make_checker(monkeypatch, client)
    checker.check_all()
    wait_for(lambda: len(log_messages) == 1)
    checker.check_all()
    wait_for(lambda: len(log_messages) == 2)
    assert [line["is_serving"] for line in log_messages] == [False, False]
    assert log_messages[1]["error"] == "refused"
    assert [(status, item.retry_after_s) for status, item in client.recorded] == [(503, 9.0)]
    assert serving.confirmed == received == []
    assert serving.failed == [("p1", 1), ("p1", 1)]


def test_checks_of_an_endpoint_are_an_interval_apart(monkeypatch):
    """Health checks take a slot of the endpoint and are priced."""
    client = ScriptedClient(False)
    checker, serving, _ = make_checker(monkeypatch, client)
    for _ in range(5):
        checker.check_all()
    assert client.answered.wait(5.0)
    time.sleep(0.05)
    assert client.calls == [("p1", "/healthz")]


def test_services_without_a_health_check_are_not_asked(monkeypatch):
    client = ScriptedClient(True)
    checker, _, _ = make_checker(monkeypatch, client, health_path=None)
    checker.check_all()
    time.sleep(0.05)
    assert client.calls == []


def test_endpoint_that_takes_few_requests_is_not_checked_beyond_its_limit(monkeypatch):
    client = ScriptedClient(True)
    checker, serving, _ = make_checker(monkeypatch, client)
    serving.may_check_now = False
    checker.check_all()
    assert client.calls == []
    serving.may_check_now = True
    checker.check_all()
    assert client.answered.wait(5.0)
