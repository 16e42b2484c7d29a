import pytest

from lynxlanding.dispatch import retry_rules
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.traffic import route as traffic_route


@pytest.mark.parametrize(
    ("kind", "attempts", "may_have_run", "was_not_run", "expected"),
    [
        (traffic_route.UNSAFE, 1, 1, False, False),
        (traffic_route.UNSAFE, 1, 0, True, True),
        (traffic_route.SAFE, 1, 1, False, True),
        (traffic_route.SAFE, 2, 2, False, False),
        (traffic_route.STREAMING, 1, 1, False, True),
        (traffic_route.SAFE, retry_rules.MAX_ATTEMPTS, 0, True, False),
    ],
)
def test_retries_only_what_may_run_again(kind, attempts, may_have_run, was_not_run, expected):
    history = retry_rules.AttemptHistory(attempts, may_have_run, was_not_run, 1.0)
    assert retry_rules.may_retry(dispatch_factories.make_route(kind), history) is expected


def test_stream_that_cannot_be_resumed_is_not_retried():
    history = retry_rules.AttemptHistory(1, 1, False, 1.0)
    assert not retry_rules.may_retry(dispatch_factories.make_route(is_resumable=False), history)


def test_no_retry_without_time_left():
    history = retry_rules.AttemptHistory(1, 0, True, 0.01)
    assert not retry_rules.may_retry(dispatch_factories.make_route(traffic_route.SAFE), history)
