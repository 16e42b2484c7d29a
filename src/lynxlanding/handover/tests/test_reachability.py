from lynxlanding.handover import reachability


def make_state():
    return reachability.Reachability(0.0)


def test_one_endpoint_that_is_silent_or_has_ended_is_not_a_cut():
    """Guards against checks because of ordinary failures."""
    state = make_state()
    for step in range(10):
        state.record_failure("e0", 10.0 + step / 10)
    assert not state.should_check(11.0)


def test_failures_of_several_endpoints_are_checked():
    state = make_state()
    state.record_failure("e0", 10.0)
    state.record_failure("e1", 10.1)
    assert state.should_check(10.2)
    assert not state.should_check(10.3), "the check is under way"


def test_new_connection_refutes_failures_before_it():
    state = make_state()
    state.record_failure("e0", 10.0)
    state.record_connected()
    state.record_failure("e1", 10.1)
    assert not state.should_check(10.2)


def test_old_failures_do_not_count():
    """Guards against endpoints that end one after the other over minutes."""
    state = make_state()
    state.record_failure("e0", 10.0)
    state.record_failure("e1", 10.1 + reachability.FAILURE_LIFETIME_S)
    assert not state.should_check(10.2 + reachability.FAILURE_LIFETIME_S)


def test_cut_begins_if_no_endpoint_is_reached_and_ends_with_the_first_one():
    state = make_state()
    assert state.record_check(0, 6, 10.0).is_cut
    assert state.is_cut
    assert state.record_check(0, 6, 10.5) is None
    assert state.should_check(10.6), "checks go on during a cut"
    change = state.record_check(1, 6, 12.0)
    assert not change.is_cut
    assert change.duration_s == 2.0
    assert not state.is_cut


def test_node_that_knows_no_endpoints_is_not_cut():
    state = make_state()
    assert state.record_check(0, 0, 10.0) is None
