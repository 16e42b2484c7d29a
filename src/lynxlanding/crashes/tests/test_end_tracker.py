import dataclasses

from lynxlanding.crashes import broken_attempt, end_tracker
from lynxlanding.dispatch.tests import dispatch_factories


def make_attempt(at, endpoint_id="e", started_ms=1):
    return broken_attempt.BrokenAttempt(endpoint_id, started_ms, (1,), at - 0.2, at)


def test_break_without_a_refused_connection_is_no_end():
    """Guards against taking resets, cuts and closed connections for the end of an endpoint."""
    tracker = end_tracker.EndTracker()
    assert tracker.record_broken(make_attempt(10.0), 10.0) == []
    assert tracker.record_refused("e", 1, 10.0 + end_tracker.CONFIRMATION_S + 0.1) == []


def test_refused_connection_explains_the_breaks_of_the_same_incarnation():
    tracker = end_tracker.EndTracker()
    first = make_attempt(10.0)
    tracker.record_broken(first, 10.0)
    assert tracker.record_refused("other", 1, 10.0) == []
    assert tracker.record_refused("e", 2, 10.0) == []
    assert tracker.record_refused("e", 1, 10.1) == [first]
    later = make_attempt(10.2)
    assert tracker.record_broken(later, 10.2) == [later]


def test_next_incarnation_at_the_address_explains_the_breaks():
    """Pattern: an engine is back, with another id, before its address is checked."""
    tracker = end_tracker.EndTracker()
    attempt = broken_attempt.BrokenAttempt("e0", 1, (1,), 9.8, 10.0, "10.0.0.1:0")
    tracker.record_broken(attempt, 10.0)
    same = dispatch_factories.make_head(0)
    assert tracker.record_started(dataclasses.replace(same, address="10.0.0.1:0"), 10.1) == []
    elsewhere = dataclasses.replace(same, endpoint_id="e9", address="10.0.0.9:0")
    assert tracker.record_started(elsewhere, 10.1) == []
    successor = dataclasses.replace(same, endpoint_id="e9", address="10.0.0.1:0")
    late = 10.1 + end_tracker.CONFIRMATION_S
    assert end_tracker.EndTracker().record_started(successor, late) == []
    assert tracker.record_started(successor, 10.2) == [attempt]


def test_endpoint_is_checked_once_for_all_its_attempts():
    """Guards against a check for each of many streams that an ended endpoint had."""
    tracker = end_tracker.EndTracker()
    assert tracker.should_check("e", 1, 10.0)
    assert not tracker.should_check("e", 1, 10.5)
    assert tracker.should_check("e", 2, 10.5)
    assert tracker.should_check("e", 1, 10.0 + end_tracker.CHECK_INTERVAL_S)
    tracker.record_broken(make_attempt(12.0), 12.0)
    tracker.record_refused("e", 1, 12.0)
    assert not tracker.should_check("e", 1, 12.5)
