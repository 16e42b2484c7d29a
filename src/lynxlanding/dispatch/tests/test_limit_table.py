import dataclasses

from lynxlanding.dispatch import limit_table
from lynxlanding.dispatch.tests import dispatch_factories

RECORD = dispatch_factories.make_head(0)
RESTARTED_RECORD = dataclasses.replace(RECORD, started_ms=2)


def test_limit_holds_until_a_later_response_states_none():
    table = limit_table.LimitTable("n0")
    change = table.record_response(RECORD, 1.4, 0.0, 1.0)
    assert (change.limit_per_s, change.known_limit_per_s, change.source) == (1.4, None, "n0")
    assert table.record_response(RECORD, 1.4, 1.0, 2.0) is None
    assert table.limit_per_s("e0") == 1.4
    assert table.limited_count == 1
    change = table.record_response(RECORD, None, 2.5, 3.0)
    assert (change.limit_per_s, change.known_limit_per_s) == (None, 1.4)
    assert table.limit_per_s("e0") is None
    assert table.limited_count == 0


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
    table.forget("e0")
    assert table.limit_per_s("e0") is None
