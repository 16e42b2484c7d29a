"""The check that comes right before a request is sent."""

import dataclasses

import pytest

from lynxlanding.dispatch import endpoint_health, limit_table, rejection_table, serving_actor
from lynxlanding.dispatch.tests import dispatch_factories


@pytest.fixture
def serving():
    dispatcher, registry = dispatch_factories.make_dispatcher([])
    reference = serving_actor.ServingActor.start(
        registry, dispatcher, dispatch_factories.make_statement_gate()
    )
    yield reference.proxy()
    reference.stop()


def test_only_the_selected_incarnation_may_be_sent_to(serving):
    record = dispatch_factories.make_plain_endpoint(1)
    assert not serving.may_send(record, 0.0, is_counted=True).get()
    serving.apply_list([record], 1, 0.0, False).get()
    assert serving.may_send(record, 0.0, is_counted=True).get()
    restarted = dataclasses.replace(record, started_ms=record.started_ms + 1)
    serving.apply_changes([restarted], [], 2, 1.0, False).get()
    assert not serving.may_send(record, 0.0, is_counted=True).get()
    serving.confirm(restarted.endpoint_id, restarted.started_ms).get()
    assert not serving.may_send(record, 0.0, is_counted=True).get()
    assert serving.may_send(restarted, 0.0, is_counted=True).get()


def test_a_leaving_or_unconfirmed_endpoint_may_not_be_sent_to(serving):
    """Guards against a request whose connection took longer than the news."""
    record = dispatch_factories.make_plain_endpoint(1)
    serving.apply_list([record], 1, 0.0, False).get()
    serving.apply_changes([], [record.endpoint_id], 2, 1.0, False).get()
    serving.apply_changes([record], [], 3, 1.5, False).get()
    assert not serving.may_send(record, 0.0, is_counted=True).get()
    serving.confirm(record.endpoint_id, record.started_ms).get()
    assert serving.may_send(record, 0.0, is_counted=True).get()
    leaving = dataclasses.replace(record, is_leaving=True)
    serving.apply_changes([leaving], [], 4, 2.0, False).get()
    assert not serving.may_send(record, 0.0, is_counted=True).get()


def test_request_that_waited_for_a_connection_needs_an_allowance_for_a_new_limit():
    """Guards against requests that were selected before the limit came."""
    limits = limit_table.LimitTable("n0")
    record = dispatch_factories.make_plain_endpoint(0)
    dispatcher, registry = dispatch_factories.make_dispatcher([record], limits=limits)
    actor = serving_actor.ServingActor(
        registry, dispatcher, dispatch_factories.make_statement_gate(limits)
    )
    assert actor.may_send(record, 100.0, is_counted=False)
    limits.record_response(record, 0.5, 99.0, 100.1)
    assert not actor.may_send(record, 100.2, is_counted=False)
    assert actor.may_send(record, 100.2, is_counted=True)
    assert not actor.may_check(record, 100.2)
    assert actor.may_check(record, 102.2)
    assert not actor.may_send(record, 102.3, is_counted=False)


def test_request_that_waited_for_a_connection_is_not_sent_after_a_rejection():
    """Guards against requests and checks at an endpoint that wants none for a time."""
    rejections = rejection_table.RejectionTable()
    record = dispatch_factories.make_plain_endpoint(0)
    dispatcher, registry = dispatch_factories.make_dispatcher([record], rejections=rejections)
    actor = serving_actor.ServingActor(
        registry, dispatcher, dispatch_factories.make_statement_gate(rejections=rejections)
    )
    rejections.record_response(record, 2.0, 100.0)
    assert not actor.may_send(record, 101.9, is_counted=True)
    assert not actor.may_check(record, 101.9)
    assert actor.may_send(record, 102.0, is_counted=True)
    assert actor.may_check(record, 102.0)


def test_endpoint_whose_end_a_peer_has_seen_is_avoided():
    """Guards against each node finding out by itself, with its callers' attempts."""
    records = [dispatch_factories.make_head(0), dispatch_factories.make_head(1)]
    dispatcher, registry = dispatch_factories.make_dispatcher(records)
    gate = dispatch_factories.make_statement_gate()
    actor = serving_actor.ServingActor(registry, dispatcher, gate)
    actor.record_ended("e0", records[0].started_ms, 10.0)
    for _ in range(9):
        decision = actor.choose(dispatch_factories.make_query(), 10.5)
        assert decision.record.endpoint_id == "e1"
    later = 10.0 + endpoint_health.ENDED_COOLDOWN_S + 0.1
    chosen = {
        actor.choose(dispatch_factories.make_query(), later).record.endpoint_id for _ in range(4)
    }
    assert "e0" in chosen, "its registration has lapsed, or it lives"


def test_end_of_an_earlier_incarnation_says_nothing():
    record = dispatch_factories.make_head(0)
    dispatcher, registry = dispatch_factories.make_dispatcher([record])
    gate = dispatch_factories.make_statement_gate()
    actor = serving_actor.ServingActor(registry, dispatcher, gate)
    actor.record_ended("e0", record.started_ms - 1, 10.0)
    assert not dispatcher.health.is_cooling_down("e0", 10.1)
