"""Requests while data centres are evacuated.

Pattern: an operator empties a data centre whose endpoints serve under load and look healthy.
"""

import dataclasses

from lynxlanding.dispatch import dispatch_decision, evacuated_endpoints, serving_actor
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.fleet import group_membership


def make_member(number, group_number, data_centre):
    head = dispatch_factories.make_head(number, data_centre=data_centre)
    membership = group_membership.GroupMembership(f"g{group_number}", 1, 1, "ready")
    return dataclasses.replace(head, membership=membership)


def choose_ids(dispatcher, query, count=40):
    chosen = set()
    for _ in range(count):
        decision = dispatcher.choose(query, 0.0)
        if isinstance(decision, dispatch_decision.Send):
            chosen.add(decision.record.endpoint_id)
            dispatcher.load_tracker.end(decision.record.endpoint_id)
    return chosen


def make_serving(records):
    dispatcher, registry = dispatch_factories.make_dispatcher(records)
    gate = dispatch_factories.make_statement_gate()
    return serving_actor.ServingActor(registry, dispatcher, gate), dispatcher


def test_heads_of_an_evacuated_data_centre_get_no_requests():
    records = []
    for number in range(6):
        centre = "ab"[number % 2]
        records.append(dispatch_factories.make_head(number, data_centre=centre))
    dispatcher, registry = dispatch_factories.make_dispatcher(records)
    dispatcher.use_evacuated(frozenset("a"))
    assert choose_ids(dispatcher, dispatch_factories.make_query()) == {"e1", "e3", "e5"}
    # A later change of the fleet gathers the candidates anew.
    later = dispatch_factories.make_head(8, data_centre="a")
    dispatcher.apply(registry.apply_changes([later], [], 1.0))
    assert choose_ids(dispatcher, dispatch_factories.make_query()) == {"e1", "e3", "e5"}
    dispatcher.use_evacuated(frozenset())
    assert "e8" in choose_ids(dispatcher, dispatch_factories.make_query(), 400)


def test_retries_hedged_and_resumed_requests_are_kept_out():
    """They choose as first attempts do, without the endpoints that were tried."""
    records = [
        dispatch_factories.make_head(0, data_centre="a"),
        dispatch_factories.make_head(1, data_centre="b"),
    ]
    dispatcher, _ = dispatch_factories.make_dispatcher(records)
    dispatcher.use_evacuated(frozenset("a"))
    query = dispatch_factories.make_query(excluded=["e1"])
    assert isinstance(dispatcher.choose(query, 0.0), dispatch_decision.Refuse)
    dispatcher.record_request("model", None, None, 0.0)
    assert not dispatcher.try_acquire_failover(query, 0.0)


def test_plain_endpoints_of_an_evacuated_data_centre_get_no_requests():
    records = [
        dispatch_factories.make_plain_endpoint(0, data_centre="a"),
        dispatch_factories.make_plain_endpoint(1, data_centre="b"),
    ]
    dispatcher, _ = dispatch_factories.make_dispatcher(records)
    dispatcher.use_evacuated(frozenset("a"))
    query = dispatch_factories.make_query(service="app")
    assert choose_ids(dispatcher, query) == {"p1"}


def test_service_that_is_evacuated_as_a_whole_refuses_at_once():
    records = [
        dispatch_factories.make_plain_endpoint(0, data_centre="a"),
        dispatch_factories.make_head(0, data_centre="a"),
    ]
    dispatcher, _ = dispatch_factories.make_dispatcher(records)
    dispatcher.use_evacuated(frozenset("a"))
    for service in ("app", "model"):
        decision = dispatcher.choose(dispatch_factories.make_query(service=service), 0.0)
        assert isinstance(decision, dispatch_decision.Refuse)
        assert decision.reason == "every endpoint is in an evacuated data centre"
        assert 0 < decision.retry_after_s < 2.0


def test_group_with_a_member_in_the_data_centre_is_the_last_choice():
    """Guards against streams on a group that may lose a member, and against refusing instead."""
    records = [
        dispatch_factories.make_head(0, data_centre="b"),
        make_member(10, 0, "a"),
        dispatch_factories.make_head(1, data_centre="b"),
        make_member(11, 1, "b"),
    ]
    serving, dispatcher = make_serving(records)
    dispatcher.use_evacuated(frozenset("a"))
    query = dispatch_factories.make_query()
    assert choose_ids(dispatcher, query) == {"e1"}
    assert not serving.may_send(records[0], 0.0, is_counted=True)
    serving.apply_changes([], ["e1"], None, 1.0, False)
    assert choose_ids(dispatcher, query) == {"e0"}
    assert serving.may_send(records[0], 1.0, is_counted=True)


def test_request_that_waited_for_a_connection_is_not_sent_into_an_evacuation():
    """Guards against requests that were selected before the evacuation began."""
    for record in (dispatch_factories.make_plain_endpoint(0), dispatch_factories.make_head(0)):
        serving, dispatcher = make_serving([record])
        assert serving.may_send(record, 0.0, is_counted=True)
        serving.use_evacuated(frozenset("a"))
        assert not serving.may_send(record, 0.0, is_counted=True)
        assert serving.may_check(record, 0.0), "health checks go on"
        serving.use_evacuated(frozenset())
        assert serving.may_send(record, 0.0, is_counted=True)


def test_endpoints_that_are_switched_off_do_not_make_a_node_look_cut():
    """Guards against nodes that hand their requests over because an evacuated half is gone."""
    records = [
        dispatch_factories.make_plain_endpoint(0, data_centre="a"),
        dispatch_factories.make_plain_endpoint(1, data_centre="b"),
    ]
    assert evacuated_endpoints.prefer_outside(records, frozenset("a")) == records[1:]
    assert evacuated_endpoints.prefer_outside(records, frozenset("ab")) == records
    assert evacuated_endpoints.prefer_outside(records, frozenset()) == records


def test_evacuation_of_a_data_centre_without_endpoints_changes_nothing():
    dispatcher, _ = dispatch_factories.make_dispatcher([dispatch_factories.make_head(0)])
    dispatcher.use_evacuated(frozenset({"elsewhere"}))
    assert choose_ids(dispatcher, dispatch_factories.make_query()) == {"e0"}
