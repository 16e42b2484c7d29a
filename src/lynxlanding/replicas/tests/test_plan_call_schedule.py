import random

from lynxlanding.replicas import plan_call_schedule


def collect_calls(schedule, end):
    calls = []
    for step in range(int(end / 0.1)):
        if schedule.may_call(step * 0.1):
            calls.append(step * 0.1)
            schedule.record_failure(step * 0.1)
    return calls


def test_a_refused_planner_calls_rarely():
    """Pattern: the store is down for 8 s, and a planner calls it in each of its 80 passes."""
    calls = collect_calls(plan_call_schedule.PlanCallSchedule(random.Random(1)), 8.0)
    assert len(calls) <= 15
    assert calls[1] <= 0.3
    # Changes of the plan must not wait for long once the store is back.
    pauses = [later - sooner for sooner, later in zip(calls, calls[1:], strict=False)]
    assert max(pauses) <= 1.1


def test_planners_do_not_call_in_step():
    """Guards against all planners calling at the same moment after each pause."""
    calls = []
    for seed in range(5):
        schedule = plan_call_schedule.PlanCallSchedule(random.Random(seed))
        for _ in range(4):
            schedule.record_failure(0.0)
        calls.append(schedule._next_at)
    assert len(set(calls)) == 5


def test_an_answer_ends_the_pauses():
    """Guards against pauses that outlast the outage."""
    schedule = plan_call_schedule.PlanCallSchedule(random.Random(1))
    collect_calls(schedule, 8.0)
    schedule.record_answer()
    assert schedule.may_call(8.0)
    schedule.record_failure(8.0)
    assert schedule.may_call(8.3)
