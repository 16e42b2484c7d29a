import dataclasses

from lynxlanding.dispatch import limit_statement, limit_table, report_turns
from lynxlanding.dispatch.tests import dispatch_factories

RECORD = dispatch_factories.make_head(0)
RESTARTED_RECORD = dataclasses.replace(RECORD, started_ms=2)


def test_limit_holds_until_a_later_response_states_none():
    table = limit_table.LimitTable("n0")
    change = table.record_response(RECORD, 1.4, 0.0, 1.0)
    assert (change.limit_per_s, change.known_limit_per_s, change.source) == (1.4, None, "n0")
    assert table.record_response(RECORD, 1.4, 1.0, 2.0) is None
    assert table.limit_per_s("e0") == 1.4
    assert table.limited_ids == {"e0"}
    change = table.record_response(RECORD, None, 2.5, 3.0)
    assert (change.limit_per_s, change.known_limit_per_s) == (None, 1.4)
    assert table.limit_per_s("e0") is None
    assert table.limited_ids == frozenset()


def test_limit_does_not_expire_without_responses():
    """Guards against a limit that is forgotten because it keeps requests away."""
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 0.0, 0.0, 1.0)
    assert table.record_response(dispatch_factories.make_head(1), None, 900.0, 901.0) is None
    assert table.limit_per_s("e0") == 0.0


def test_response_to_an_earlier_request_does_not_end_a_limit():
    """Guards against a limit that ends with a stream that began before it."""
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 1.0, 0.0, 1.0)
    assert table.record_response(RECORD, None, 0.9, 1.1) is None
    assert table.record_response(RECORD, 5.0, 0.9, 1.1) is None
    assert table.limit_per_s("e0") == 1.0
    assert table.record_response(RECORD, 0.5, 0.9, 1.2).limit_per_s == 0.5


def test_overlapping_requests_do_not_keep_a_limit_that_has_been_raised():
    """Guards against a limit that stays since some request is always in flight."""
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 1.0, 0.0, 1.0)
    changes = [table.record_response(RECORD, 5.0, at - 1.5, at) for at in (1.5, 2.0, 2.6)]
    assert changes[:2] == [None, None]
    assert changes[2].limit_per_s == 5.0


def test_limit_ends_with_the_incarnation():
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 1.0, 0.0, 1.0)
    table.record_response(RESTARTED_RECORD, None, 0.5, 1.5)
    assert table.limit_per_s("e0") is None
    table.record_response(RESTARTED_RECORD, 2.0, 1.5, 2.0)
    table.keep_incarnation(RECORD)
    assert table.limit_per_s("e0") is None


def make_statement(limit_per_s, stated_at, started_ms=1):
    return limit_statement.LimitStatement(started_ms, limit_per_s, stated_at)


def exchange(sender, receiver, now):
    """Let one node report to another one."""
    for item in sender.statements_to_report(now):
        receiver.record_peer(RECORD, item.statement, "peer", now)


def test_peer_tells_of_a_limit_and_of_its_end():
    first = limit_table.LimitTable("n0")
    second = limit_table.LimitTable("n1")
    first.record_response(RECORD, 1.0, 0.0, 1.0)
    exchange(first, second, 1.1)
    assert second.limit_per_s("e0") == 1.0
    assert second.statements_to_report(1.1) == [], "what peers report does not circulate"
    first.record_response(RECORD, None, 1.5, 1.6)
    exchange(first, second, 1.7)
    assert second.limit_per_s("e0") is None


def test_node_that_missed_the_end_of_a_limit_is_told_again():
    """Guards against a limit that lasts for ever at a node that gets no responses."""
    first = limit_table.LimitTable("n0")
    second = limit_table.LimitTable("n1")
    second.record_response(RECORD, 1.0, 0.0, 1.0)
    first.record_response(RECORD, 1.0, 0.0, 1.1)
    first.record_response(RECORD, None, 2.0, 2.1)
    assert first.statements_to_report(100.0) == []
    exchange(second, first, 100.0)
    assert first.limit_per_s("e0") is None
    exchange(first, second, 100.1)
    assert second.limit_per_s("e0") is None
    assert second.statements_to_report(100.2) == []


def test_limit_that_only_a_silent_peer_has_heard_expires():
    table = limit_table.LimitTable("n1")
    table.record_peer(RECORD, make_statement(1.0, 0.0), "n0", 0.1)
    assert table.expire({"e0"}, 29.0) == []
    (change,) = table.expire({"e0"}, 31.0)
    assert (change.limit_per_s, change.known_limit_per_s, change.source) == (None, 1.0, "n0")
    table.record_response(RECORD, 2.0, 32.0, 33.0)
    assert table.expire({"e0"}, 1000.0) == []
    assert table.limit_per_s("e0") == 2.0


def test_limit_outlasts_a_registration_that_lapses_for_a_while():
    """Guards against a limit that is forgotten in an outage of the store."""
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 2.0, 0.0, 1.0)
    table.expire((), 2.0)
    table.expire((), 61.0)
    assert table.limit_per_s("e0") == 2.0
    table.expire({"e0"}, 61.5)
    table.expire((), 62.0)
    table.expire((), 100.0)
    assert table.limit_per_s("e0") == 2.0
    table.expire((), 123.0)
    assert table.limit_per_s("e0") is None


def test_peer_statement_about_another_incarnation_is_ignored():
    table = limit_table.LimitTable("n0")
    assert table.record_peer(RECORD, make_statement(1.0, 0.0, started_ms=7), "n1", 0.1) is None
    assert table.limit_per_s("e0") is None


def test_report_is_bounded_and_old_statements_take_turns():
    table = limit_table.LimitTable("n0")
    for number in range(40):
        table.record_response(dispatch_factories.make_head(number), 1.0, 0.0, 1.0)
    assert len(table.statements_to_report(1.5)) == report_turns.MAX_REPORTED
    reported = set()
    for _ in range(10):
        items = table.statements_to_report(10.0)
        assert len(items) == report_turns.MAX_REPORTED_OLD
        reported.update(item.endpoint_id for item in items)
    assert len(reported) == 40


def test_only_changes_are_reported_at_once():
    """Guards against reports at every turn while many endpoints have limits."""
    table = limit_table.LimitTable("n0")
    table.record_response(RECORD, 1.0, 0.0, 1.0)
    assert table.own_changes == 1
    table.record_response(RECORD, 1.0, 1.0, 2.0)
    table.record_peer(RECORD, make_statement(1.0, 3.0), "n1", 3.0)
    table.statements_to_report(3.0)
    assert table.own_changes == 1
    table.record_response(RECORD, None, 4.0, 4.1)
    assert table.own_changes == 2


def test_late_responses_of_an_earlier_incarnation_do_not_count():
    """Guards against a limit that a response sent before the restart ends, or brings back."""
    table = limit_table.LimitTable("n0")
    table.keep_incarnation(RESTARTED_RECORD)
    table.record_response(RESTARTED_RECORD, 1.4, 1.0, 1.1)
    assert table.record_response(RECORD, None, 0.5, 1.2) is None
    assert table.limit_per_s(RECORD.endpoint_id) == 1.4
    assert table.record_response(RECORD, 0.2, 0.5, 1.3) is None
    assert table.limit_per_s(RECORD.endpoint_id) == 1.4
    # An incarnation that this node has not read from the store yet may state a limit.
    unknown = limit_table.LimitTable("n0")
    assert unknown.record_response(RECORD, 0.2, 0.5, 1.3).limit_per_s == 0.2


def test_incarnations_of_endpoints_that_are_gone_are_forgotten():
    """Guards against memory that grows with every endpoint that ever registered."""
    table = limit_table.LimitTable("n0")
    table.keep_incarnation(RESTARTED_RECORD)
    table.expire({}, 1.0)
    table.expire({}, 2.0 + limit_table.MISSING_RETENTION_S)
    assert table.record_response(RECORD, 0.2, 99.0, 99.1).limit_per_s == 0.2
