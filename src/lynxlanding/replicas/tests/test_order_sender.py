"""Pattern: engines added while others are lost, with nodes that order loads at the same time."""

import threading

import pytest

from lynxlanding.replicas import engine_order, order_outcome, order_sender
from lynxlanding.replicas.tests import plan_world

LOAD_WINDOW_S = 5.0
WAIT_S = 5.0


class Client:
    """Answers every order in the same way."""

    def __init__(self):
        self.outcome = order_outcome.BEGUN
        self.sent = []
        self.is_answered = threading.Event()

    def send_order(self, record, order):
        assert record.endpoint_id == order.endpoint_id
        self.sent.append(order)
        self.is_answered.set()
        return self.outcome


class Desk:
    def __init__(self):
        self.client = Client()
        self.elsewhere = set()
        self.has_effect = threading.Event()
        self.desk = order_sender.OrderSender(
            self.client, LOAD_WINDOW_S, lambda: self.elsewhere, self.has_effect.set
        )
        self.spec = plan_world.engine_spec(loads_at_once=7)

    def stage(self, number, *, has_traffic=True, is_background=False):
        order = engine_order.EngineOrder(engine_order.STAGE, f"e{number}", model="large")
        self.desk.send(
            order,
            plan_world.record(f"e{number}"),
            self.spec,
            1.0,
            has_traffic=has_traffic,
            is_background=is_background,
        )


@pytest.fixture
def world():
    return Desk()


def test_loads_keep_to_what_the_weight_store_serves_at_once(world):
    """Counts the loads that other nodes ordered."""
    world.elsewhere = {"e10", "e11", "e12", "e13", "e14"}
    for number in range(4):
        world.stage(number)
    assert world.desk.loading == {"e0", "e1"}
    assert len(world.desk.under_way()) == 7


def test_second_models_leave_half_of_the_weight_store(world):
    for number in range(6):
        world.stage(number, is_background=True)
    assert len(world.desk.loading) == 4
    world.stage(7)
    assert "e7" in world.desk.loading


def test_loads_are_not_limited_before_traffic(world):
    for number in range(12):
        world.stage(number, has_traffic=False)
    assert world.desk.loading == frozenset()
    assert world.has_effect.wait(WAIT_S)


def test_an_order_is_not_sent_again_before_it_can_have_had_an_effect(world):
    world.stage(0)
    world.stage(0)
    assert world.has_effect.wait(WAIT_S)
    assert len(world.client.sent) == 1


@pytest.mark.parametrize(
    ("outcome", "under_way"),
    [
        (order_outcome.BEGUN, {"e0": "large"}),
        (order_outcome.UNKNOWN, {"e0": "large"}),
        # Ordered by a node that is gone, which nobody else knows of.
        (order_outcome.CONFLICT, {"e0": None}),
        (order_outcome.REFUSED, {}),
        (order_outcome.UNREACHABLE, {}),
        (order_outcome.ALREADY_DONE, {}),
    ],
)
def test_the_outcome_says_whether_a_load_is_under_way(world, outcome, under_way):
    world.client.outcome = outcome
    record = plan_world.record("e0")
    order = engine_order.EngineOrder(engine_order.STAGE, "e0", model="large")
    world.desk._loads.begin(record, "large", 16.0, 0.0)
    world.desk._deliver(order, record, 16.0)
    assert world.desk.under_way() == under_way
