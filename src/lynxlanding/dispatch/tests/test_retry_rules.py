import pytest

from lynxlanding.dispatch import retry_rules
from lynxlanding.dispatch.tests import dispatch_world
from lynxlanding.traffic import route


@pytest.mark.parametrize(
    ("kind", "sends", "may_have_run", "not_run", "allowed"),
    [
        (route.UNSAFE, 1, 1, False, False),
        (route.UNSAFE, 1, 0, True, True),
        (route.SAFE, 1, 1, False, True),
        (route.SAFE, 2, 2, False, False),
        (route.STREAMING, 1, 1, False, True),
        (route.SAFE, retry_rules.MAX_SENDS, 0, True, False),
    ],
)
def test_what_may_run_twice_is_sent_twice(kind, sends, may_have_run, not_run, allowed):
    history = retry_rules.AttemptHistory(sends, may_have_run, not_run, 1.0)
    assert retry_rules.may_repeat(dispatch_world.make_route(kind), history) is allowed


def test_a_stream_that_cannot_be_resumed_runs_once():
    history = retry_rules.AttemptHistory(1, 1, False, 1.0)
    assert not retry_rules.may_repeat(dispatch_world.make_route(resumable=False), history)


def test_no_repeat_without_time_left():
    history = retry_rules.AttemptHistory(1, 0, True, 0.01)
    assert not retry_rules.may_repeat(dispatch_world.make_route(route.SAFE), history)
