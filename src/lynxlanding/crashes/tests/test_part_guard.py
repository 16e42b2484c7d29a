import pytest

from lynxlanding.crashes import part_guard, request_digest, statements, suspicion

SHARED, COMMON, BAD, SOUND = 0xA1, 0xC0, 0xBAD, 0x50
PARTS = (SHARED, COMMON, BAD)
DEADLY, OTHER = request_digest.from_digest(0xD0), request_digest.from_digest(0x0E)
NODES = tuple(f"n{number}" for number in range(9))


def never(endpoint_key):
    del endpoint_key
    return 0.0


def make_end(number, at, parts=PARTS, sent_s=0.2):
    return statements.EndStatement(number, 1, at, dict.fromkeys(parts, at - sent_s))


def make_guard(ends=0, parts=PARTS, node_id="n0"):
    guard = part_guard.PartGuard(node_id)
    guard.use_live_nodes(NODES)
    for number in range(ends):
        record_end(guard, number, 10.0 + number, parts)
    return guard


def record_end(guard, number, at, parts=PARTS, sent_s=0.2):
    """Record an end and wait until it counts; return the changes."""
    guard.record_end(make_end(number, at, parts, sent_s), at)
    return guard.expire(never, at + part_guard.SETTLING_S + 0.01)


def exchange(guards, now):
    """Give each guard the report of each other one, and let it draw its conclusions."""
    reports = {node_id: guard.statements_to_report(now) for node_id, guard in guards.items()}
    for node_id, guard in guards.items():
        for other_id, report in reports.items():
            if other_id != node_id:
                guard.apply_peer(report, other_id, now)
        guard.expire(never, now)


def test_prompt_is_refused_after_three_ends_and_not_before():
    guard = make_guard(suspicion.ENDS_TO_NAME - 1)
    assert guard.check(PARTS, 12.0) is None
    record_end(guard, 9, 12.0)
    verdict = guard.check((*PARTS, SOUND), 12.1)
    assert verdict.parts == frozenset(PARTS)
    assert not verdict.is_trial


def test_requests_sent_after_an_end_are_not_its_cause():
    """Guards against blaming sound parts for ends that other requests had caused before.

    Pattern: an ended engine's port still accepts connections, so requests go on being sent there.
    """
    guard = make_guard()
    for number in range(4):
        at = 10.0 + 3 * number
        guard.record_end(make_end(number, at, (BAD,)), at)
        late = make_end(number, at + 0.25, (SOUND,), sent_s=0.05)
        guard.apply_peer(statements.PromptStatements((late,)), "n1", at + 0.25)
        guard.expire(never, at + part_guard.SETTLING_S + 0.01)
    assert list(guard.quarantines) == [frozenset({BAD})]


def test_bad_requests_sent_after_an_end_do_not_hide_its_cause():
    """Guards against a part that is never named because its requests go on to ended engines."""
    guard = make_guard()
    for number in range(3):
        at = 10.0 + 3 * number
        guard.record_end(make_end(number, at, (BAD,)), at)
        guard.record_end(make_end(number, at + 1.0, (BAD,)), at + 1.0)
        guard.expire(never, at + 1.0 + part_guard.SETTLING_S)
    assert list(guard.quarantines) == [frozenset({BAD})]


def test_sound_prompts_with_some_of_the_parts_pass_and_tell_the_bad_one():
    """Guards against refusing a caller's sound requests with the bad ones."""
    guard = make_guard(3)
    sound = (SHARED, COMMON)
    assert guard.check(sound, 12.1) is None
    guard.record_harmless(sound, 12.2, 14.0)
    assert list(guard.quarantines) == [frozenset({BAD})]
    assert guard.check((BAD,), 14.1).parts == {BAD}
    assert guard.check(sound, 14.1) is None


def test_part_with_harmless_answers_needs_more_ends():
    """Guards against naming the part that most requests share."""
    guard = make_guard()
    guard.record_harmless((SHARED,), 9.0, 9.5)
    for number in range(3):
        record_end(guard, number, 10.0 + number, (SHARED,))
    assert guard.check((SHARED,), 12.1) is None
    record_end(guard, 3, 13.0, (SHARED,))
    assert guard.check((SHARED,), 13.1) is not None


def test_harmless_answer_refutes_the_ends_before_it():
    guard = make_guard(2)
    guard.record_harmless(PARTS, 11.5, 12.0)
    record_end(guard, 7, 13.0)
    record_end(guard, 8, 14.0)
    assert guard.check(PARTS, 14.1) is None


def test_answer_that_began_before_an_end_says_nothing_about_it():
    guard = make_guard(3)
    guard.record_harmless(PARTS, 11.9, 13.0)
    assert guard.check(PARTS, 13.1) is not None


def test_ends_of_a_data_centre_name_no_part():
    """Guards against refusing prompts whose engines have lost power together."""
    guard = make_guard()
    for number in range(30):
        at = 10.0 + number / 100
        record_end(guard, number, at, (SHARED, number), sent_s=1.0)
    assert guard.quarantines == {}


def test_ends_that_five_nodes_have_seen_once_each_count_together():
    """Guards against a count of its own on each node."""
    guards = {node_id: make_guard(node_id=node_id) for node_id in NODES}
    for number in range(3):
        guard = guards[NODES[number]]
        guard.record_end(make_end(number, 10.0 + number), 10.0 + number)
        exchange(guards, 10.1 + number)
    exchange(guards, 12.4)
    for guard in guards.values():
        assert guard.check(PARTS, 12.4) is not None


def test_one_end_seen_by_many_nodes_counts_once():
    """Guards against naming the parts of several requests that shared one engine's end."""
    guards = {node_id: make_guard(node_id=node_id) for node_id in NODES}
    for guard in guards.values():
        guard.record_end(make_end(1, 10.0, (SHARED, SOUND)), 10.0)
    exchange(guards, 10.1)
    exchange(guards, 10.5)
    for guard in guards.values():
        assert guard.quarantines == {}
        assert guard.may_repeat((SHARED, SOUND))


def test_node_that_starts_later_learns_what_is_refused():
    guards = {"n0": make_guard(3), "n1": make_guard(node_id="n1")}
    report = guards["n0"].statements_to_report(300.0)
    guards["n1"].apply_peer(report, "n0", 300.0)
    assert guards["n1"].quarantines == {}, "one peer may lack some evidence"
    guards["n1"].apply_peer(report, "n2", 300.0)
    assert guards["n1"].check(PARTS, 300.1).parts == frozenset(PARTS)


def test_node_that_missed_the_answer_is_told_again():
    """Guards against nodes that quarantine a part over and over for each other."""
    guard = make_guard(3)
    stale = guard.statements_to_report(12.5)
    assert stale.quarantines
    guard.record_harmless(PARTS, 13.0, 14.0)
    assert guard.quarantines == {}
    guard.statements_to_report(20.0)
    guard.apply_peer(stale, "n1", 20.0)
    assert guard.quarantines == {}
    report = guard.statements_to_report(20.1)
    assert {item.part for item in report.harmless} == set(PARTS)


def test_repeat_stops_at_the_second_end_of_a_request():
    """Guards against repeats that multiply the ends, and against ordinary ends without repeat."""
    assert make_guard(1).may_repeat(PARTS)
    assert not make_guard(2).may_repeat(PARTS)
    assert make_guard(2).may_repeat((SHARED, COMMON))


def make_quarantined_guards():
    """Return a guard for each node, all of which refuse the same parts at 12.5 s."""
    guards = {node_id: make_guard(node_id=node_id) for node_id in NODES}
    for number in range(3):
        guards["n0"].record_end(make_end(number, 10.0 + number), 10.0 + number)
        exchange(guards, 10.1 + number)
    exchange(guards, 12.4)
    exchange(guards, 12.5)
    return guards


def test_trials_of_all_nodes_together_are_bounded():
    """Guards against nodes that each try for themselves whether a part is still bad."""
    guards = make_quarantined_guards()
    trials = []
    for step in range(1, 1200):
        now = 12.5 + step / 10
        for node_id, guard in guards.items():
            verdict = guard.check(PARTS, now)
            if verdict.is_trial:
                trials.append((now, node_id))
                guard.record_end(make_end(1000 + step, now + 0.05), now + 0.05)
        exchange(guards, now + 0.09)
    assert len(trials) == 2, trials
    assert trials[0][0] - 12.0 >= part_guard.TRIAL_WAITS_S[0]
    assert trials[1][0] - trials[0][0] >= part_guard.TRIAL_WAITS_S[1]


def test_part_that_was_named_wrongly_comes_free_after_one_trial():
    guards = make_quarantined_guards()
    now = 12.5
    trials = 0
    while guards["n5"].quarantines:
        now += 0.1
        assert now < 12.0 + part_guard.TRIAL_WAITS_S[0] + part_guard.TRIAL_TURN_S
        for guard in guards.values():
            verdict = guard.check(PARTS, now)
            if verdict is not None and verdict.is_trial:
                trials += 1
                guard.record_harmless(PARTS, now, now)
        exchange(guards, now)
    assert trials == 1
    assert all(guard.quarantines == {} for guard in guards.values())


def test_quarantine_ends_when_requests_with_the_part_have_stopped():
    guard = make_guard(3)
    guard.check(PARTS, 100.0)
    assert guard.expire(never, 100.0 + part_guard.RETENTION_S - 1.0) == []
    changes = guard.expire(never, 100.0 + part_guard.RETENTION_S + 1.0)
    assert [change.ended_because for change in changes] == [part_guard.QUIET]
    assert guard.check(PARTS, 900.0) is None


def test_end_of_an_endpoint_that_goes_on_sending_is_dropped():
    """Guards against nodes that are cut off and take each engine for ended."""
    guard = make_guard()
    guard.apply_peer(statements.PromptStatements((make_end(1, 10.0),)), "n1", 10.1)
    guard.expire(lambda key: 10.5, 10.6)
    record_end(guard, 2, 11.0)
    record_end(guard, 3, 12.0)
    assert guard.quarantines == {}


def test_operators_can_exempt_a_part():
    guard = make_guard(3)
    guard.use_exempt_parts(frozenset({BAD}))
    assert guard.check(PARTS, 12.1) is None
    assert guard.may_repeat(PARTS)
    guard.use_exempt_parts(frozenset())
    assert guard.check(PARTS, 12.1) is not None


def test_memory_and_reports_are_bounded():
    """Guards against prompts with parts of their own that fill the memory of nodes."""
    guard = make_guard()
    for number in range(20_000):
        at = 10.0 + number / 1000
        guard.record_harmless((10**6 + number,), at, at)
    for number in range(500):
        at = 40.0 + number
        for offset in range(20):
            guard.record_end(make_end(number, at, range(number * 40, number * 40 + offset)), at)
        report = guard.statements_to_report(at)
        assert len(report.ends) <= 8
        assert all(len(end.sent_at_by_part) <= 32 for end in report.ends)
        assert len(report.harmless) <= 32
    assert len(guard._evidence._harmless) <= 4096
    assert len(guard._evidence._ends) <= 128


@pytest.mark.parametrize("count", [70])
def test_number_of_quarantines_is_bounded(count):
    guard = make_guard()
    for number in range(count):
        for end in range(3):
            at = 10.0 + number + end / 4
            guard.record_end(make_end(number * 10 + end, at, (number,), sent_s=0.1), at)
            guard.expire(never, at + part_guard.SETTLING_S + 0.01)
    assert len(guard.quarantines) == part_guard.MAX_QUARANTINES
    assert guard.check((count - 1,), 100.0) is not None


def test_request_that_comes_again_is_refused_and_others_with_its_parts_are_not():
    """Guards against a request that ends one endpoint after the other under new ids."""
    guard = make_guard(3, (DEADLY, *PARTS))
    assert list(guard.quarantines) == [frozenset({DEADLY})]
    verdict = guard.check((DEADLY, *PARTS), 12.5)
    assert verdict.is_on_request
    assert not verdict.is_trial
    assert guard.check((OTHER, *PARTS), 12.5) is None
    assert guard.count_requests() == 1


def test_request_that_was_named_wrongly_comes_free_after_a_trial_long_after_the_ends():
    """Guards against a refusal that no answer ends, because its evidence has expired."""
    guard = make_guard(3, (DEADLY,))
    guard.use_live_nodes(["n0"])
    now = 13.0
    assert guard.check((DEADLY,), now + part_guard.TRIAL_WAITS_S[0]) is not None
    trials = []
    while len(trials) < 2:
        now += 0.1
        verdict = guard.check((DEADLY,), now)
        if verdict.is_trial:
            trials.append(now)
        guard.expire(never, now)
    assert trials[0] - 12.0 >= part_guard.REQUEST_TRIAL_WAITS_S[0]
    assert trials[1] - trials[0] >= part_guard.REQUEST_TRIAL_WAITS_S[1]
    guard.record_harmless((DEADLY,), now, now + 1.0)
    assert guard.quarantines == {}


def test_harmless_part_is_not_named_before_answers_can_refute_it():
    """Guards against refusing sound requests while several deadly ones that share a part begin."""
    guard = make_guard()
    guard.record_harmless((SHARED,), 9.0, 9.5)
    for number in range(4):
        record_end(guard, number, 10.0 + number, (request_digest.from_digest(number), SHARED))
    assert guard.quarantines == {}
    guard.record_harmless((SHARED,), 13.2, 14.9)
    guard.expire(never, 13.0 + part_guard.KNOWN_SETTLING_S + 0.1)
    assert guard.quarantines == {}


def test_harmless_part_under_which_different_requests_end_endpoints_is_named():
    """Guards against a part that has become bad and is never refused."""
    guard = make_guard()
    guard.record_harmless((SHARED,), 9.0, 9.5)
    for number in range(4):
        record_end(guard, number, 10.0 + number, (request_digest.from_digest(number), SHARED))
    guard.expire(never, 13.0 + part_guard.KNOWN_SETTLING_S + 0.1)
    assert list(guard.quarantines) == [frozenset({SHARED})]


def test_request_that_may_be_deadly_itself_is_no_trial_of_a_part():
    """Guards against a part that stays refused because a deadly request was its trial."""
    guard = make_guard(3)
    guard.use_live_nodes(["n0"])
    guard.record_end(make_end(9, 12.0, (DEADLY,)), 12.0)
    now = 12.0 + part_guard.TRIAL_WAITS_S[0] + part_guard.TRIAL_TURN_S / 2
    assert not guard.check((DEADLY, *PARTS), now).is_trial
    assert guard.check((OTHER, *PARTS), now).is_trial


def test_answers_to_many_requests_leave_what_is_known_of_parts():
    """Guards against requests that push the shared parts out of the bounded memory."""
    guard = make_guard()
    guard.record_harmless((SHARED,), 9.0, 9.5)
    for number in range(5000):
        guard.record_harmless((request_digest.from_digest(number),), 10.0 + number, 10.5 + number)
    assert guard._evidence.harmless_since(SHARED) == 9.0
    assert len(guard._evidence._harmless_requests) == 4096


def test_operators_can_exempt_a_request():
    guard = make_guard(3, (DEADLY,))
    guard.use_exempt_parts(frozenset({DEADLY}))
    assert guard.check((DEADLY,), 12.5) is None
    assert guard.may_repeat((DEADLY,))


def test_refused_requests_do_not_crowd_out_refused_parts():
    """Guards against a bad part that comes free while many requests crash endpoints."""
    guard = make_guard(3)
    for number in range(part_guard.MAX_QUARANTINES + 5):
        for end in range(3):
            at = 20.0 + number + end / 4
            key = request_digest.from_digest(1000 + number)
            guard.record_end(make_end(1000 + number * 10 + end, at, (key,), sent_s=0.1), at)
            guard.expire(never, at + part_guard.SETTLING_S + 0.01)
    assert frozenset(PARTS) in guard.quarantines
    assert guard.count_requests() == part_guard.MAX_QUARANTINES
