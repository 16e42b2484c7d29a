from lynxlanding.node import stop_plan

GRACE_S = 8.0


def test_no_request_is_taken_that_the_end_of_the_grace_time_would_cut():
    """Guards against a stream taken 3.5 s after SIGTERM and cut 4 s later."""
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert plan.accepts_requests(102.0)
    assert not plan.accepts_requests(103.0)


def test_waits_until_the_balancer_knows_and_requests_have_ended():
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert not plan.is_over(101.0, 0)
    assert plan.is_over(103.0, 0)
    assert not plan.is_over(103.0, 1)
    assert not plan.is_over(107.0, 1)


def test_ends_before_it_is_killed():
    plan = stop_plan.StopPlan(100.0, GRACE_S)
    assert plan.is_over(107.9, 5)
