import random

from lynxlanding.peers import directory_schedule

CALM = {"is_believed_down": False, "is_failing": False}
DOWN = {"is_believed_down": True, "is_failing": False}


def make_schedule(seed=1):
    return directory_schedule.DirectorySchedule(random.Random(seed))


def make_registered(*, reads_for_others, seed=1, now=0.0):
    schedule = make_schedule(seed)
    schedule.record_listed(now, True, 1, reads_for_others=reads_for_others)
    return schedule


def collect_calls(schedule, start, end, *, era=1, is_answered=True, reads_for_others=True, **state):
    calls = []
    now = start
    state = state or CALM
    while now < end:
        step = schedule.next_step(now, era, **state)
        if step.call is None:
            assert step.wait_s > 0
            now += step.wait_s
            continue
        calls.append((now, step.call))
        if not is_answered:
            schedule.record_failed(now, reads_for_others=reads_for_others)
        elif step.call == directory_schedule.REGISTER:
            schedule.record_registered(now)
        else:
            schedule.record_listed(now, True, era, reads_for_others=reads_for_others)
        now += 0.01
    return calls


def test_a_node_that_is_still_registered_makes_one_cheap_call():
    """Pattern: all nodes restart, and each writes its registration and lists the nodes."""
    schedule = make_schedule()
    assert schedule.next_step(0.0, None, **CALM).call == directory_schedule.LIST_STALE
    schedule.record_listed(0.1, True, 1, reads_for_others=True)
    assert schedule.next_step(0.2, 1, **CALM).call is None


def test_a_new_node_reads_a_current_list_after_its_registration():
    """Guards against two nodes that start at once and do not see each other."""
    schedule = make_schedule()
    schedule.record_listed(0.0, False, 1, reads_for_others=True)
    calls = [call for _, call in collect_calls(schedule, 0.0, 0.5)]
    assert calls == [directory_schedule.REGISTER, directory_schedule.LIST]


def test_nodes_that_relays_inform_list_rarely():
    """Pattern: 128 nodes list all nodes every 5 s, although they hear of new ones anyway."""
    for_others = collect_calls(make_registered(reads_for_others=True), 0.0, 60.0)
    informed = collect_calls(
        make_registered(reads_for_others=False), 0.0, 60.0, reads_for_others=False
    )
    assert 10 <= len(for_others) <= 15
    assert len(informed) <= 4


def test_no_node_lists_while_the_store_is_believed_to_be_down():
    """Pattern: the store is down for 8 s, and every node lists the nodes each 0.4 s."""
    schedule = make_registered(reads_for_others=False)
    assert collect_calls(schedule, 30.0, 38.0, **DOWN) == []


def test_failed_refreshes_of_a_registered_node_get_rarer():
    """Pattern: the store refuses a third of the nodes, which list the nodes each 0.4 s."""
    schedule = make_registered(reads_for_others=False)
    calls = collect_calls(schedule, 30.0, 60.0, is_answered=False, reads_for_others=False)
    assert len(calls) <= 6


def test_an_unregistered_node_registers_soon_after_the_store_is_back():
    """Guards against a node that gets no reports for long after an outage."""
    schedule = make_schedule()
    collect_calls(schedule, 0.0, 8.0, is_answered=False)
    schedule.next_step(8.0, 1, **DOWN)
    first_at, call = collect_calls(schedule, 10.0, 15.0)[0]
    assert call == directory_schedule.LIST_STALE
    assert first_at < 10.5


def test_pauses_of_an_unregistered_node_grow_and_differ():
    """Guards against nodes that call in step, and against pauses without a limit."""
    times = []
    for seed in range(3):
        calls = collect_calls(make_schedule(seed), 0.0, 10.0, is_answered=False)
        times.append([now for now, _ in calls])
        pauses = [later - sooner for sooner, later in zip(times[-1], times[-1][1:], strict=False)]
        assert pauses[0] < 0.3
        assert max(pauses) <= 1.25 * directory_schedule.MAX_BACKOFF_S
    assert times[0] != times[1] != times[2]


def test_a_node_registers_in_a_new_era():
    """Guards against a registration that is lost with the store's latest writes."""
    schedule = make_registered(reads_for_others=True)
    assert schedule.next_step(0.5, 2, **CALM).call == directory_schedule.REGISTER


def test_a_node_whose_last_call_failed_tries_again_soon():
    """Guards against nodes that do no work that needs the store, long after an outage."""
    schedule = make_registered(reads_for_others=False)
    calls = collect_calls(
        schedule, 1.0, 5.0, reads_for_others=False, is_believed_down=False, is_failing=True
    )
    assert calls[0][0] < 3.1
