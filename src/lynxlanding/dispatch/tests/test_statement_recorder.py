import dataclasses

import pytest

from lynxlanding.dispatch import limit_table, rejection_table, request_logger
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.fleet import endpoint_statements

RECORD = dispatch_factories.make_plain_endpoint(0)


def record(recorder, metadata, status=200, sent_at=1.0):
    recorder.record_response(RECORD, "q", status, metadata, sent_at, sent_at + 1.0)


def test_malformed_limit_does_not_end_the_known_one(log_messages):
    """Guards against a header that cannot be read and counts as the end of a limit."""
    table = limit_table.LimitTable("n0")
    recorder = dispatch_factories.make_statement_recorder(table)
    record(recorder, dispatch_factories.make_response_metadata(limit_per_s=1.5))
    malformed = dispatch_factories.make_response_metadata(malformed=(endpoint_statements.LIMIT,))
    record(recorder, malformed, sent_at=3.0)
    assert table.limit_per_s(RECORD.endpoint_id) == 1.5
    assert log_messages[-1]["message_type"] == request_logger.STATEMENT_MALFORMED


@pytest.mark.parametrize(
    ("status", "fields", "is_heard"),
    dispatch_factories.RESPONSE_ORIGINS,
)
def test_leaving_is_heard_once_from_the_endpoints_own_responses(
    status, fields, is_heard, log_messages
):
    """Guards against an endpoint that goes out of use because of another one's response."""
    heard = []
    recorder = dispatch_factories.make_statement_recorder(on_leaving=heard.append)
    metadata = dispatch_factories.make_response_metadata(is_leaving=True)
    record(recorder, dataclasses.replace(metadata, **fields), status)
    record(recorder, dataclasses.replace(metadata, **fields), status)
    assert heard == ([RECORD] if is_heard else [])
    logged = [item["source"] for item in log_messages]
    assert logged == (["n0"] if is_heard else [])


@pytest.mark.parametrize(
    ("status", "fields", "is_heard"),
    [
        (503, {"was_not_run": True, "is_sealed": False}, True),
        (503, {}, True),
        (503, {"is_sealed": False}, False),
        (503, {"request_id": "another"}, False),
        (429, {"was_not_run": True}, False),
        (421, {"was_not_run": True}, False),
        (200, {}, False),
    ],
)
def test_rejection_is_heard_from_the_endpoints_own_refusals(status, fields, is_heard, log_messages):
    """Guards against an endpoint that is left alone because of another one's response."""
    rejections = rejection_table.RejectionTable()
    recorder = dispatch_factories.make_statement_recorder(rejections=rejections)
    metadata = dispatch_factories.make_response_metadata(retry_after_s=5.0)
    record(recorder, dataclasses.replace(metadata, **fields), status)
    assert rejections.is_empty == (not is_heard)
    logged = [item["retry_after_s"] for item in log_messages]
    assert logged == ([5.0] if is_heard else [])


def test_health_checks_state_rejections_and_no_limits():
    """Guards against a limit that a health check without that header ends."""
    table = limit_table.LimitTable("n0")
    rejections = rejection_table.RejectionTable()
    recorder = dispatch_factories.make_statement_recorder(table, rejections=rejections)
    record(recorder, dispatch_factories.make_response_metadata(limit_per_s=1.5))
    statements = endpoint_statements.EndpointStatements(retry_after_s=5.0)
    recorder.record_check(RECORD, 200, statements, 3.0)
    assert rejections.is_empty
    recorder.record_check(RECORD, 503, statements, 3.0)
    assert rejections.remaining_s(RECORD, 4.0) == 4.0
    assert table.limit_per_s(RECORD.endpoint_id) == 1.5
