"""Tests of order limits: engines are added while others fail and several nodes order loads."""

import threading

import pytest

from lynxlanding.replicas import engine_order, order_outcome, order_sender
from lynxlanding.replicas.tests import simulated_domain

LOAD_WINDOW_S = 5.0
WAIT_S = 5.0


class StubEngineClient:
    """Responds to every order with the same outcome."""

    def __init__(self):
        self.outcome = order_outcome.BEGUN
        self.sent = []
        self.answered = threading.Event()

    def send_order(self, record, order):
        assert record.endpoint_id == order.endpoint_id
        self.sent.append(order)
        self.answered.set()
        return self.outcome


class Harness:
    def __init__(self):
        self.client = StubEngineClient()
        self.loading_elsewhere = set()
        self.accepted = threading.Event()
        self.sender = order_sender.OrderSender(
            self.client, LOAD_WINDOW_S, lambda: self.loading_elsewhere, self.accepted.set
        )
        self.spec = simulated_domain.make_engine_spec(max_concurrent_loads=7)

    def stage(self, number, *, has_traffic=True, is_background=False):
        order = engine_order.EngineOrder(engine_order.STAGE, f"e{number}", model="large")
        self.sender.send(
            order,
            simulated_domain.engine_record(f"e{number}"),
            self.spec,
            1.0,
            has_traffic=has_traffic,
            is_background=is_background,
        )


@pytest.fixture
def harness():
    return Harness()


def test_loads_do_not_exceed_the_concurrency_of_the_weight_store(harness):
    """Guards against a limit that ignores the loads ordered by other nodes."""
    harness.loading_elsewhere = {"e10", "e11", "e12", "e13", "e14"}
    for number in range(4):
        harness.stage(number)
    assert harness.sender.loading_engines == {"e0", "e1"}
    assert len(harness.sender.fleet_loads()) == 7


def test_loads_of_additional_models_use_half_of_the_weight_store(harness):
    for number in range(6):
        harness.stage(number, is_background=True)
    assert len(harness.sender.loading_engines) == 4
    harness.stage(7)
    assert "e7" in harness.sender.loading_engines


def test_loads_are_not_limited_before_traffic(harness):
    for number in range(12):
        harness.stage(number, has_traffic=False)
    assert harness.sender.loading_engines == {f"e{number}" for number in range(12)}
    assert harness.accepted.wait(WAIT_S)


def test_an_order_is_not_resent_before_it_can_have_taken_effect(harness):
    harness.stage(0)
    harness.stage(0)
    assert harness.accepted.wait(WAIT_S)
    assert len(harness.client.sent) == 1


@pytest.mark.parametrize(
    ("outcome", "loads"),
    [
        (order_outcome.BEGUN, {"e0": "large"}),
        (order_outcome.UNKNOWN, {"e0": "large"}),
        # Another load is in progress, ordered by a node that is gone and unknown to the others.
        (order_outcome.CONFLICT, {"e0": None}),
        (order_outcome.REFUSED, {}),
        (order_outcome.UNREACHABLE, {}),
        (order_outcome.ALREADY_DONE, {}),
    ],
)
def test_the_outcome_determines_whether_a_load_is_in_progress(harness, outcome, loads):
    harness.client.outcome = outcome
    record = simulated_domain.engine_record("e0")
    order = engine_order.EngineOrder(engine_order.STAGE, "e0", model="large")
    harness.sender._loads.start(record, "large", 16.0, 0.0)
    harness.sender._deliver(order, record, 16.0)
    assert harness.sender.fleet_loads() == loads
