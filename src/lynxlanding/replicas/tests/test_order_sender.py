"""Tests of order limits: engines are added while others fail and several nodes order loads."""

import dataclasses
import threading

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.fleet import group_membership
from lynxlanding.replicas import engine_order, engine_report, order_outcome, order_sender
from lynxlanding.replicas.tests import simulated_domain

LOAD_WINDOW_S = 5.0
WAIT_S = 5.0


class StubEngineClient:
    """Responds to every order with the same outcome."""

    def __init__(self):
        self.outcome = order_outcome.BEGUN
        # Outcomes of the next orders, in place of ``outcome``.
        self.outcomes = []
        self.sent = []
        self.report = engine_report.EngineReport(1, None, (), 0, 0, 1.0, 3)
        self.answered = threading.Event()

    def send_order(self, record, order):
        assert record.endpoint_id == order.endpoint_id
        self.sent.append(order)
        self.answered.set()
        return self.outcomes.pop(0) if self.outcomes else self.outcome

    def fetch_report(self, record):
        if self.report is None:
            raise endpoint_errors.AttemptTimedOut("no response")
        return self.report


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


JOIN = engine_order.EngineOrder(engine_order.JOIN, "e0", "d0.5.small", 5, "small", ("e0", "e1"))


def deliver_join(harness):
    """Deliver the join to an engine whose registration shows no group."""
    harness.sender._loads.start(simulated_domain.engine_record("e0"), "small", 16.0, 0.0)
    harness.sender._deliver(JOIN, simulated_domain.engine_record("e0"), 16.0)
    return harness.client.sent


def test_a_join_is_refused_by_an_engine_that_has_accepted_another_order_since_its_report(harness):
    """Guards against engines in two groups: a join that takes effect after another one."""
    (sent,) = deliver_join(harness)
    assert sent == dataclasses.replace(JOIN, expected_orders=3)


def test_a_join_is_sent_again_after_a_report_that_did_not_show_the_latest_order(
    harness, monkeypatch
):
    """Guards against groups that form late because a model was staged just before."""
    monkeypatch.setattr(order_sender, "REPORT_MARGIN_S", 0.0)
    reports = [harness.client.report, dataclasses.replace(harness.client.report, accepted_orders=4)]
    harness.client.fetch_report = lambda record: reports.pop(0)
    harness.client.outcomes = [order_outcome.CONFLICT, order_outcome.BEGUN]
    sent = deliver_join(harness)
    assert [order.expected_orders for order in sent] == [3, 4]
    assert harness.sender.fleet_loads() == {"e0": "small"}


def test_an_engine_that_has_just_left_is_asked_once_its_report_can_show_it(harness):
    """Guards against groups that form late because a member still reports its last group."""
    left = harness.client.report
    membership = group_membership.GroupMembership("d0.4.large", 4, 0, group_membership.READY)
    harness.client.report = dataclasses.replace(left, membership=membership)
    leave = engine_order.EngineOrder(engine_order.LEAVE, "e0", "d0.4.large", 4)
    record = simulated_domain.engine_record("e0")
    harness.sender._deliver(leave, record, 0.0, 0.1)
    timer = threading.Timer(0.1, setattr, (harness.client, "report", left))
    timer.start()
    harness.sender._deliver(JOIN, record, 0.0, 0.1)
    timer.join()
    assert [order.kind for order in harness.client.sent] == [engine_order.LEAVE, engine_order.JOIN]


def test_no_engine_is_ordered_to_join_while_it_reports_another_group(harness):
    """Guards against engines in two groups: a registration that is a late write."""
    membership = group_membership.GroupMembership("d0.4.large", 4, 0, group_membership.OPEN)
    harness.client.report = dataclasses.replace(harness.client.report, membership=membership)
    assert deliver_join(harness) == []
    assert harness.sender.fleet_loads() == {}


def test_a_member_is_not_ordered_to_join_its_group_again(harness):
    membership = group_membership.GroupMembership(JOIN.group, 5, 0, group_membership.JOINING)
    harness.client.report = dataclasses.replace(harness.client.report, membership=membership)
    assert deliver_join(harness) == []
    assert harness.accepted.is_set()


def test_no_engine_is_ordered_to_join_that_does_not_tell_how_many_orders_it_has_accepted(harness):
    """Guards against a join that the engine cannot refuse."""
    harness.client.report = dataclasses.replace(harness.client.report, accepted_orders=None)
    assert deliver_join(harness) == []


def test_no_engine_that_cannot_be_asked_is_ordered_to_join(harness):
    harness.client.report = None
    assert deliver_join(harness) == []
    assert harness.sender.fleet_loads() == {}
