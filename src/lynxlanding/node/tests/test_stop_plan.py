from lynxlanding.node import stop_plan

GRACE_S = 8.0


def test_requests_that_the_exit_would_cut_off_are_not_accepted():
    """A stream that was accepted 3.5 s after SIGTERM was cut off 4 s later."""
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert plan.accepts_requests(102.0)
    assert not plan.accepts_requests(103.0)


def test_exits_after_removal_by_the_balancer_and_end_of_requests():
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert not plan.should_exit(101.0, 0)
    assert plan.should_exit(103.0, 0)
    assert not plan.should_exit(103.0, 1)
    assert not plan.should_exit(107.0, 1)


def test_short_grace_period_leaves_time_for_answers():
    """Guards against requests that are accepted until the exit if the grace period is short."""
    plan = stop_plan.StopPlan(100.0, 3.0)
    assert plan.accepts_requests(100.5)
    assert not plan.accepts_requests(101.1)
    assert plan.answer_by < 102.5
    assert plan.should_exit(102.5, 1)


def test_exits_before_it_is_killed():
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert plan.should_exit(107.9, 5)


def test_does_not_exit_while_it_accepts_requests():
    """Guards against a request that is read right after the last one has ended, and is cut off."""
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    for step in range(60):
        now = 100.0 + step * 0.1
        if plan.should_exit(now, 0):
            assert not plan.accepts_requests(now - stop_plan.REFUSAL_S)
            return
    raise AssertionError("the plan does not end")
