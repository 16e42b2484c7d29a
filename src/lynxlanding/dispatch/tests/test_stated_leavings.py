import dataclasses

from lynxlanding.dispatch import report_turns, stated_leavings
from lynxlanding.dispatch.tests import dispatch_factories

RECORD = dispatch_factories.make_head(0)
RESTARTED_RECORD = dataclasses.replace(RECORD, started_ms=2)


def test_leaving_is_news_once_for_each_incarnation():
    leavings = stated_leavings.StatedLeavings()
    assert leavings.record_response(RECORD, 1.0)
    assert not leavings.record_response(RECORD, 2.0)
    assert leavings.record_response(RESTARTED_RECORD, 3.0)
    assert leavings.changes == 2


def test_leaving_that_a_peer_has_reported_is_no_news():
    """Guards against an actor call for every report that repeats a statement."""
    leavings = stated_leavings.StatedLeavings()
    statement = stated_leavings.LeavingStatement(RECORD.endpoint_id, RECORD.started_ms, 1.0)
    assert leavings.record_peer(statement)
    assert not leavings.record_peer(statement)
    assert not leavings.record_response(RECORD, 2.0)
    # The peer may be gone before all nodes have heard it, so this node reports it as well.
    assert [item.endpoint_id for item in leavings.statements_to_report(2.0)] == ["e0"]


def test_statements_of_peers_are_not_reported():
    """Guards against statements that circulate among nodes."""
    leavings = stated_leavings.StatedLeavings()
    leavings.record_peer(stated_leavings.LeavingStatement("e0", 1, 1.0))
    assert leavings.statements_to_report(1.0) == []


def test_reports_are_bounded_and_old_leavings_take_turns():
    """Guards against reports that grow with the number of endpoints that leave."""
    leavings = stated_leavings.StatedLeavings()
    records = {f"e{number}": dispatch_factories.make_head(number) for number in range(40)}
    for item in records.values():
        leavings.record_response(item, 1.0)
    assert len(leavings.statements_to_report(1.0)) == report_turns.MAX_REPORTED
    seen = set()
    for _ in range(10):
        items = leavings.statements_to_report(2.0 + stated_leavings.FRESH_S)
        assert len(items) == report_turns.MAX_REPORTED_OLD
        seen.update(item.endpoint_id for item in items)
    assert seen == set(records)
    leavings.expire({"e0": records["e0"], "e1": dataclasses.replace(records["e1"], started_ms=2)})
    assert [item.endpoint_id for item in leavings.statements_to_report(9.0)] == ["e0"]
