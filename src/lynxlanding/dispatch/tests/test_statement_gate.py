"""What the dispatcher does if endpoints reject requests for a time."""

import dataclasses

import pytest

from lynxlanding.dispatch import dispatch_decision, limit_table, rejection_table
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.traffic import route as traffic_route


def make_dispatcher(rejected_for_s, limits_per_s=(), is_model=True, endpoints=2):
    """Return a dispatcher; ``rejected_for_s`` has a time from 100.0 on for each rejecting one."""
    make = dispatch_factories.make_head if is_model else dispatch_factories.make_plain_endpoint
    records = [make(number) for number in range(endpoints)]
    rejections = rejection_table.RejectionTable()
    limits = limit_table.LimitTable("n0")
    dispatcher, _ = dispatch_factories.make_dispatcher(
        records, limits=limits, rejections=rejections
    )
    for number, retry_after_s in rejected_for_s.items():
        rejections.record_response(records[number], retry_after_s, 100.0)
    for number, limit_per_s in dict(limits_per_s).items():
        limits.record_response(records[number], limit_per_s, 99.0, 100.0)
    return dispatcher


def make_query(is_model):
    return dispatch_factories.make_query() if is_model else make_plain_query()


def make_plain_query():
    route = dispatch_factories.make_route(traffic_route.SAFE, service="app")
    return dispatch_factories.make_query(None, service="app", route=route)


@pytest.mark.parametrize("is_model", [True, False])
def test_others_serve_what_one_endpoint_rejects(is_model):
    """Guards against callers that are refused because of a single endpoint."""
    dispatcher = make_dispatcher({0: 2.0}, is_model=is_model)
    chosen = {
        dispatcher.choose(make_query(is_model), 100.0 + number / 10).record.endpoint_id
        for number in range(8)
    }
    assert chosen == {"e1" if is_model else "p1"}


@pytest.mark.parametrize("is_model", [True, False])
def test_endpoint_is_used_again_when_the_time_is_over(is_model):
    dispatcher = make_dispatcher({0: 2.0, 1: 60.0}, is_model=is_model)
    assert isinstance(dispatcher.choose(make_query(is_model), 101.9), dispatch_decision.Refuse)
    assert isinstance(dispatcher.choose(make_query(is_model), 102.0), dispatch_decision.Send)


@pytest.mark.parametrize("is_model", [True, False])
def test_callers_are_told_when_the_first_endpoint_takes_requests_again(is_model):
    """Guards against callers that come back while all endpoints still reject them."""
    dispatcher = make_dispatcher({0: 3.0, 1: 60.0}, is_model=is_model)
    waits_s = [dispatcher.choose(make_query(is_model), 100.5).retry_after_s for _ in range(20)]
    assert 2.5 <= min(waits_s) < max(waits_s) < 4.0


def test_callers_that_cannot_wait_for_so_long_may_ask_another_node():
    """Guards against callers that are told to come back after their deadline."""
    dispatcher = make_dispatcher({0: 60.0, 1: 60.0})
    query = dispatch_factories.make_query()
    waits_s = [dispatcher.choose(query, 100.5).retry_after_s for _ in range(20)]
    assert max(waits_s) < 0.3 * query.time_left_s


def test_rejected_and_limited_endpoints_together_refuse_by_the_limit():
    dispatcher = make_dispatcher({0: 60.0}, limits_per_s={1: 0.0})
    decision = dispatcher.choose(dispatch_factories.make_query(), 100.5)
    assert decision.reason == "every endpoint has reached its limit"


def test_endpoint_that_rejects_requests_is_no_supply_for_less_urgent_ones():
    """Guards against urgent requests that find the limit used by others."""
    dispatcher = make_dispatcher({0: 600.0}, limits_per_s={1: 1.0})
    sent = 0
    for number in range(600):
        query = dataclasses.replace(
            dispatch_factories.make_query(), priority=0 if number % 10 == 0 else 3
        )
        decision = dispatcher.choose(query, 100.0 + number * 0.05)
        if not isinstance(decision, dispatch_decision.Send):
            continue
        dispatcher.load_tracker.end(decision.record.endpoint_id)
        if number > 200:
            assert query.priority == 0
            sent += 1
    assert sent > 10


def test_failover_to_a_rejecting_endpoint_does_not_use_the_retry_budget():
    dispatcher = make_dispatcher({1: 60.0})
    query = dispatch_factories.make_query(excluded=("e0",))
    assert not dispatcher.try_acquire_failover(query, 100.5)
