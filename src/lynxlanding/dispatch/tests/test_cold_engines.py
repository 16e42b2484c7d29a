import dataclasses

import pytest

from lynxlanding.dispatch import (
    cold_engines,
    cold_statement,
    dispatch_decision,
    limit_table,
    report_turns,
    serving_actor,
)
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.traffic import service_spec

HEAD = dispatch_factories.make_head(0)
RESTARTED = dataclasses.replace(HEAD, started_ms=2)
PLAIN = dispatch_factories.make_plain_endpoint(0)
SERVICES = {
    "model": service_spec.ServiceSpec("model", 9, None, cold_start_s=3.0, cold_per_s=14.0),
    "app": service_spec.ServiceSpec("app", 9, None, cold_start_s=3.0),
}


def make_cold_engines(services=SERVICES, has_traffic=True):
    cold = cold_engines.ColdEngines("n0")
    cold.use_services(services)
    if has_traffic:
        cold.note_traffic()
    return cold


def test_restarted_engine_is_cold_for_the_time_of_its_service():
    cold = make_cold_engines(has_traffic=False)
    cold.record_incarnation(HEAD, 10.0, is_first_list=True)
    assert cold.cold_ids == frozenset()
    cold.record_incarnation(RESTARTED, 20.0, is_first_list=False)
    assert cold.limit("e0") == cold_engines.ColdLimit(14.0, 8)
    (begin,) = cold.expire(22.9)
    assert (begin.is_cold, begin.belief.source) == (True, cold_engines.FIRST_SIGHT)
    (end,) = cold.expire(23.0)
    assert not end.is_cold
    assert cold.limit("e0") is None


@pytest.mark.parametrize(("has_traffic", "is_cold"), [(False, False), (True, True)])
def test_new_engine_is_cold_if_there_is_traffic(has_traffic, is_cold):
    """Guards against a site whose engines all count as cold while it starts."""
    cold = make_cold_engines(has_traffic=has_traffic)
    cold.record_incarnation(HEAD, 10.0, is_first_list=False)
    assert ("e0" in cold.cold_ids) == is_cold


def test_engine_that_comes_back_with_the_same_start_is_not_cold():
    """Guards against a fleet that counts as cold after an outage of the store."""
    cold = make_cold_engines()
    cold.record_incarnation(HEAD, 10.0, is_first_list=True)
    cold.record_incarnation(HEAD, 50.0, is_first_list=False)
    assert cold.cold_ids == frozenset()


def test_services_without_both_fields_have_no_cold_endpoints():
    """Guards against plain endpoints that are limited although the configuration has no limit."""
    cold = make_cold_engines()
    cold.record_incarnation(PLAIN, 10.0, is_first_list=True)
    restarted = dataclasses.replace(PLAIN, started_ms=2, cold_remaining_s=3.0)
    cold.record_incarnation(restarted, 20.0, is_first_list=False)
    cold.record_registration(restarted, 20.0)
    cold.record_cold("p0", 2, None, cold_engines.EVACUATION, 20.0)
    assert (cold.cold_ids, cold.expire(20.1)) == (frozenset(), [])


def test_registration_counts_once_from_when_it_was_read():
    """Guards against a list that is read again and makes a warm engine cold."""
    record = dataclasses.replace(HEAD, cold_remaining_s=2.0)
    cold = make_cold_engines(has_traffic=False)
    cold.record_incarnation(record, 10.0, is_first_list=True)
    cold.record_registration(record, 10.0)
    assert cold.get("e0").until == 12.0
    cold.record_registration(record, 11.0)
    assert cold.get("e0").until == 12.0
    cold.record_registration(dataclasses.replace(record, heartbeat_number=1), 11.5)
    assert cold.get("e0").until == 13.5
    cold.expire(13.5)
    cold.record_registration(dataclasses.replace(record, heartbeat_number=1), 14.0)
    assert cold.get("e0") is None


def test_configuration_may_arrive_after_the_registrations():
    """Guards against a node that starts, reads the engines first and takes them all for warm."""
    record = dataclasses.replace(HEAD, cold_remaining_s=2.0)
    cold = make_cold_engines(services={}, has_traffic=False)
    cold.record_incarnation(record, 10.0, is_first_list=True)
    cold.record_registration(record, 10.0)
    assert cold.limit("e0") is None
    cold.use_services(SERVICES)
    assert cold.limit("e0").rate_per_s == 14.0


def test_statements_about_an_earlier_incarnation_change_nothing():
    cold = make_cold_engines()
    cold.record_incarnation(HEAD, 10.0, is_first_list=True)
    cold.record_incarnation(RESTARTED, 20.0, is_first_list=False)
    cold.expire(30.0)
    cold.record_response(HEAD, 3.0, 30.0)
    cold.record_peer(cold_statement.ColdStatement("e0", HEAD.started_ms, 40.0, 30.0), "n1", 30.0)
    cold.record_cold("e0", HEAD.started_ms, 3.0, cold_engines.EVACUATION, 30.0)
    assert cold.cold_ids == frozenset()


def test_evacuated_engine_is_cold_for_the_time_of_its_service_or_another_one():
    cold = make_cold_engines()
    cold.record_incarnation(HEAD, 10.0, is_first_list=True)
    cold.record_cold("e0", HEAD.started_ms, None, cold_engines.EVACUATION, 50.0)
    assert cold.get("e0").until == 53.0
    cold.record_cold("e0", HEAD.started_ms, 9.0, cold_engines.EVACUATION, 50.0)
    assert cold.get("e0").until == 59.0


def test_peers_tell_of_an_incarnation_that_this_node_has_not_read():
    """Guards against a node that is cut from the store and sends a new engine everything."""
    first = make_cold_engines()
    second = make_cold_engines()
    for cold in (first, second):
        cold.record_incarnation(HEAD, 10.0, is_first_list=True)
    first.record_incarnation(RESTARTED, 20.0, is_first_list=False)
    (statement,) = first.statements_to_report(20.5)
    second.record_peer(statement, "n0", 20.5)
    assert second.get("e0").until == 23.0
    assert second.get("e0").source == cold_engines.PEER
    third = cold_engines.ColdEngines("n3")
    third.record_peer(statement, "n0", 20.5)
    assert third.statements_to_report(20.6) == [], "what peers report does not circulate"


def test_report_is_bounded_and_all_engines_take_turns():
    """Guards against reports that grow with the data centre after an evacuation."""
    cold = make_cold_engines()
    for number in range(40):
        record = dispatch_factories.make_head(number)
        cold.record_incarnation(record, 10.0, is_first_list=False)
    reported = set()
    for _ in range(3):
        statements = cold.statements_to_report(10.5)
        assert len(statements) == report_turns.MAX_REPORTED
        reported.update(statement.endpoint_id for statement in statements)
    assert len(reported) == 40


def test_small_shifts_of_the_end_are_no_news():
    """Guards against log lines and reports at each heartbeat of a cold engine."""
    cold = make_cold_engines()
    cold.record_incarnation(HEAD, 10.0, is_first_list=False)
    assert len(cold.expire(10.1)) == 1
    later = dataclasses.replace(HEAD, heartbeat_number=1, cold_remaining_s=1.9)
    cold.record_registration(later, 11.2)
    assert cold.get("e0").until == pytest.approx(13.1)
    assert cold.expire(11.3) == []
    assert cold.statements_to_report(11.6) == []
    cold.record_response(HEAD, 3.0, 11.7)
    assert [change.belief.source for change in cold.expire(11.8)] == [cold_engines.RESPONSE]
    assert len(cold.statements_to_report(11.8)) == 1


def test_lower_one_of_both_limits_is_in_force():
    cold = make_cold_engines()
    table = limit_table.LimitTable("n0", cold)
    cold.record_incarnation(HEAD, 10.0, is_first_list=False)
    assert (table.limit_per_s("e0"), table.stated_limit_per_s("e0")) == (14.0, None)
    table.record_response(HEAD, 1.0, 10.0, 10.1)
    assert (table.limit_per_s("e0"), table.max_sharing_nodes("e0")) == (1.0, 8)
    cold.expire(13.0)
    assert (table.limit_per_s("e0"), table.max_sharing_nodes("e0")) == (1.0, None)


def make_actor(records, cold=None):
    """Return a ``ServingActor`` that is called directly and knows some endpoints."""
    cold = cold or make_cold_engines(has_traffic=False)
    gate = dispatch_factories.make_statement_gate(limit_table.LimitTable("n0", cold))
    dispatcher, registry = dispatch_factories.make_dispatcher([], gate=gate)
    actor = serving_actor.ServingActor(registry, dispatcher, gate)
    actor.apply_list(records, 1, 10.0, False)
    cold.note_traffic()
    return actor


def test_registry_tells_new_incarnations_from_late_writes():
    """Guards against a late write of an earlier incarnation that makes an engine cold."""
    cold = make_cold_engines(has_traffic=False)
    actor = make_actor([RESTARTED], cold)
    late = dataclasses.replace(RESTARTED, heartbeat_number=0, cold_remaining_s=3.0)
    current = dataclasses.replace(RESTARTED, heartbeat_number=5)
    actor.apply_changes([current], [], 2, 11.0, False)
    actor.apply_changes([late], [], 3, 12.0, False)
    actor.apply_changes([dataclasses.replace(HEAD, cold_remaining_s=3.0)], [], 4, 12.5, False)
    assert cold.cold_ids == frozenset()
    again = dataclasses.replace(RESTARTED, heartbeat_number=6, cold_remaining_s=3.0)
    actor.apply_changes([again], [], 5, 13.0, False)
    assert cold.get("e0").until == 16.0
    actor.apply_changes([dataclasses.replace(HEAD, started_ms=9)], [], 6, 30.0, False)
    assert cold.get("e0").source == cold_engines.FIRST_SIGHT


def test_cold_head_without_allowance_is_skipped_like_a_full_one():
    """Guards against requests that are refused although other heads have room."""
    records = [dispatch_factories.make_head(number) for number in range(4)]
    actor = make_actor(records)
    for record in records[:3]:
        actor.apply_changes([dataclasses.replace(record, started_ms=2)], [], 2, 11.0, False)
        actor.confirm(record.endpoint_id, 2)
    # The node shares the cold heads with others, and is among the first ones of none or few.
    actor.use_live_nodes(["n0", *(f"n{number}" for number in range(100, 161))], [], 11.0)
    for step in range(200):
        decision = actor.choose(dispatch_factories.make_query(), 11.0 + step * 0.01)
        assert isinstance(decision, dispatch_decision.Send)
        actor.end_attempt(decision.record.endpoint_id)


def test_request_that_finds_only_cold_heads_without_allowance_is_refused_at_once():
    records = [dispatch_factories.make_head(number) for number in range(2)]
    actor = make_actor(records)
    for record in records:
        actor.apply_changes([dataclasses.replace(record, started_ms=2)], [], 2, 11.0, False)
        actor.confirm(record.endpoint_id, 2)
    actor.use_live_nodes(["n0"], [f"n{number}" for number in range(1, 3)], 11.0)
    decisions = [actor.choose(dispatch_factories.make_query(), 11.5) for _ in range(6)]
    assert isinstance(decisions[-1], dispatch_decision.Refuse)
    assert decisions[-1].reason == dispatch_decision.ALL_LIMITED_SOME_COLD
    assert 0 < decisions[-1].retry_after_s < 2.0


def test_health_checks_and_delayed_requests_count():
    """Guards against requests that waited for a connection and arrive beside newer ones."""
    actor = make_actor([HEAD])
    actor.apply_changes([RESTARTED], [], 2, 11.0, False)
    actor.confirm("e0", 2)
    allowed = 0
    for step in range(30):
        allowed += actor.may_check(RESTARTED, 12.0 + step * 0.001)
        allowed += actor.may_send(RESTARTED, 12.0 + step * 0.001, is_counted=True)
    assert allowed <= 8
