"""No client takes a response with an invalid status for an answer."""

import pytest

from lynxlanding.platform.tests import test_truncated_responses

INVALID = (b"000", b"099", b"600", b"700", b"999", b"20", b"2000", b"-20", b"2x0")


@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("call", test_truncated_responses.CALLS, ids=lambda item: item.__name__)
def test_response_with_an_invalid_status_is_refused(call, status):
    """Guards against a status that does not exist and reaches a caller or counts as an outcome.

    The calls are those of health checks, reports, orders, the store, and requests; handed-over
    requests are sent by the client of requests.
    """
    data = test_truncated_responses.HEAD.replace(b" 200 ", b" %b " % status)
    data += test_truncated_responses.BODY
    assert not test_truncated_responses.succeeds(call, data)
