"""Each rule finds a planted breach, and nothing in a sound day."""

import dataclasses

import pytest

from lynxlanding_bench.site_day import day_record, fault, rules

NODES = ("n0", "n1")


def response(request_id, sent_at, node="n0", kind=day_record.STREAM, status=200, **fields):
    fields.setdefault("is_whole", status == 200)
    return day_record.Response(request_id, kind, node, sent_at, sent_at + 0.1, status, **fields)


def event(kind, request_id, at, endpoint_id="e0"):
    return day_record.SiteEvent(kind, request_id, endpoint_id, at)


def played(kind, begun_at=10.0, ended_at=40.0, targets=("e0",), value=None):
    for_s = ended_at - begun_at
    return day_record.PlayedFault(
        fault.Fault(1, begun_at, kind, targets, for_s, value), begun_at, ended_at
    )


def make_record(responses=(), events=(), faults=()):
    return day_record.DayRecord(NODES, 0.0, 60.0, list(responses), list(events), list(faults))


def served_requests(node, since, until, endpoint_id="e0", prefix="s", **fields):
    """Return a request each 0.1 s with its run."""
    responses = []
    events = []
    for number in range(int((until - since) * 10)):
        request_id = f"{prefix}-{node}-{number}"
        at = since + number / 10
        responses.append(response(request_id, at, node, **fields))
        events.append(event("run", request_id, at + 0.01, endpoint_id))
    return responses, events


def breach_runs():
    unsafe = response("u", 1.0, kind=day_record.UNSAFE)
    refused = response("v", 1.0, kind=day_record.UNSAFE, status=503)
    events = [event("run", "u", 1.0), event("run", "u", 1.2), event("run", "v", 1.1)]
    return make_record([unsafe, refused], events)


def breach_answers():
    return make_record([response("a", 1.0, is_whole=False)])


def breach_crashes():
    crashes = [event("crash", "", 11.0 + number) for number in range(5)]
    responses, runs = served_requests("n0", 20.0, 20.5, prefix="b", has_bad_part=True)
    return make_record(responses, [*crashes, *runs], [played("crash_part", targets=())])


def breach_sound():
    crashes = [event("crash", "", 11.0)]
    before, runs = served_requests("n0", 1.0, 5.0)
    after = [response(f"f-{number}", 20.0 + number / 10, status=503) for number in range(40)]
    return make_record([*before, *after], [*crashes, *runs], [played("crash_part", targets=())])


def breach_cuts():
    others, runs = served_requests("n1", 15.0, 25.0)
    cut = [response(f"f-{number}", 15.0 + number / 5, status=503) for number in range(50)]
    return make_record([*others, *cut], runs, [played("cut", targets=("n0",), value="hang")])


def breach_leavings():
    first = response("l", 10.0, states_leaving=True)
    late, runs = served_requests("n0", 14.0, 14.3)
    return make_record([first, *late], [event("run", "l", 10.0), *runs], [played("state_leaving")])


def breach_limits():
    first = response("l", 10.0, states_limit=True)
    rest, runs = served_requests("n0", 14.0, 16.0)
    return make_record(
        [first, *rest], [event("run", "l", 10.0), *runs], [played("state_limit", value=1.0)]
    )


def breach_rejections():
    rest, runs = served_requests("n0", 11.0, 11.4)
    first = response("r", 10.0, status=503)
    return make_record(
        [first, *rest], [event("reject", "r", 10.0), *runs], [played("reject", value=4.0)]
    )


def breach_cold_engines():
    arrivals = [("e0", 12.0 + number / 30) for number in range(30)]
    record = make_record([], [], [played("cold")])
    return dataclasses.replace(record, cold_arrivals=arrivals, cold_per_s=14.0)


def breach_evacuations():
    rest, runs = served_requests("n0", 16.0, 16.4)
    return make_record(rest, runs, [played("evacuate", 10.0, 20.0)])


BREACHES = {
    breach_runs: rules.check_runs,
    breach_answers: rules.check_answers,
    breach_crashes: rules.check_crashes,
    breach_sound: rules.check_crashes,
    breach_cuts: rules.check_cuts,
    breach_leavings: rules.check_leavings,
    breach_limits: rules.check_limits,
    breach_rejections: rules.check_rejections,
    breach_cold_engines: rules.check_cold_engines,
    breach_evacuations: rules.check_evacuations,
}


@pytest.mark.parametrize("make", list(BREACHES), ids=lambda make: make.__name__)
def test_planted_breach_is_found_by_its_rule_only(make):
    """Guards against rules that pass whatever happens, or that see each other's breaches."""
    found = {rule for rule in rules.RULES.values() if rule(make())}
    assert found == {BREACHES[make]}


def test_sound_day_breaks_no_rule():
    responses, events = served_requests("n0", 1.0, 59.0, endpoint_id="e1")
    others, other_events = served_requests("n1", 1.0, 59.0, endpoint_id="e1")
    faults = [
        played("cut", targets=("n0",), value="hang"),
        played("state_leaving"),
        played("state_limit", value=1.0),
        played("reject", value=4.0),
        played("crash_part", targets=()),
        played("evacuate"),
    ]
    record = make_record([*responses, *others], [*events, *other_events], faults)
    assert {name: [] for name in rules.RULES} == rules.check(record)


def test_requests_before_nodes_can_know_that_a_running_engine_is_cold_do_not_count():
    record = breach_cold_engines()
    told = dataclasses.replace(record, faults=[played("cold", 11.5, 15.0)])
    assert rules.check_cold_engines(told) == []


def test_requests_of_other_endpoints_and_times_do_not_count():
    """Guards against a limit that is judged outside of its time."""
    record = breach_limits()
    later = dataclasses.replace(record, faults=[played("state_limit", 30.0, 40.0, value=1.0)])
    assert rules.check_limits(later) == []
    elsewhere = dataclasses.replace(
        record, faults=[played("state_limit", targets=("e9",), value=1.0)]
    )
    assert rules.check_limits(elsewhere) == []


def test_evacuations_are_judged_after_their_bound_and_by_nodes_that_reach_the_store():
    """Guards against a rule that is broken by requests which the users' rule allows."""
    for since in (10.0, 14.0, 20.0):
        rest, runs = served_requests("n0", since, since + 0.9)
        assert (
            rules.check_evacuations(make_record(rest, runs, [played("evacuate", 10.0, 20.0)])) == []
        )
    rest, runs = served_requests("n0", 18.0, 18.4)
    evacuation = played("evacuate", 10.0, 20.0)
    for kind, targets in (("cut_store", ("n0",)), ("store", ()), ("roll_back_store", ())):
        faults = [evacuation, played(kind, 9.0, 14.0, targets)]
        assert rules.check_evacuations(make_record(rest, runs, faults)) == []
    for kind, targets, ended_at in (("cut_store", ("n1",), 14.0), ("store", (), 12.0)):
        faults = [evacuation, played(kind, 9.0, ended_at, targets)]
        assert rules.check_evacuations(make_record(rest, runs, faults)) != []
