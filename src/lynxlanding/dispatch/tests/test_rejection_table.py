import dataclasses

from lynxlanding.dispatch import rejection_table
from lynxlanding.dispatch.tests import dispatch_factories

RECORD = dispatch_factories.make_head(0)
RESTARTED_RECORD = dataclasses.replace(RECORD, started_ms=2)
OTHER_RECORD = dispatch_factories.make_head(1)


def test_rejection_holds_for_the_stated_time():
    table = rejection_table.RejectionTable()
    assert table.record_response(RECORD, 3.0, 1.0).until == 4.0
    assert table.remaining_s(RECORD, 1.5) == 2.5
    assert table.remaining_s(RECORD, 4.0) == 0.0
    assert table.remaining_s(OTHER_RECORD, 1.5) == 0.0
    table.expire(3.9)
    assert not table.is_empty
    table.expire(4.0)
    assert table.is_empty


def test_shorter_time_does_not_end_a_longer_one():
    """Guards against requests that the first response does not want."""
    table = rejection_table.RejectionTable()
    table.record_response(RECORD, 3.0, 1.0)
    assert table.record_response(RECORD, 1.0, 1.5) is None
    assert table.remaining_s(RECORD, 2.0) == 2.0
    assert table.record_response(RECORD, 3.0, 2.0).until == 5.0


def test_no_time_is_no_rejection():
    table = rejection_table.RejectionTable()
    assert table.record_response(RECORD, 0.0, 1.0) is None
    assert table.is_empty


def test_rejection_ends_with_the_incarnation():
    """Guards against an hour without the endpoint although it has restarted."""
    table = rejection_table.RejectionTable()
    table.record_response(RECORD, 3600.0, 1.0)
    table.keep_incarnation(RECORD)
    assert table.remaining_s(RECORD, 2.0) > 3000.0
    table.keep_incarnation(RESTARTED_RECORD)
    assert table.is_empty
    # A later incarnation may state a shorter time.
    table.record_response(RECORD, 3600.0, 3.0)
    table.record_response(RESTARTED_RECORD, 1.0, 3.0)
    assert table.remaining_s(RESTARTED_RECORD, 3.0) == 1.0


def test_late_response_of_an_earlier_incarnation_does_not_count():
    """Guards against an endpoint that is left alone for what it said before its restart."""
    table = rejection_table.RejectionTable()
    table.keep_incarnation(RESTARTED_RECORD)
    table.record_response(RECORD, 3600.0, 1.0)
    assert table.remaining_s(RESTARTED_RECORD, 2.0) == 0.0
