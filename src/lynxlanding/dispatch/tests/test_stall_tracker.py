from lynxlanding.dispatch import stall_tracker

STALL_TIMEOUT_S = 0.1


def test_endpoint_is_stalled_until_it_sends_an_event():
    tracker = stall_tracker.StallTracker()
    tracker.record_event("e0", 1.0)
    assert not tracker.is_stalled("e0", STALL_TIMEOUT_S, 1.2)
    tracker.record_peer_stall("e0", 1.2)
    assert tracker.is_stalled("e0", STALL_TIMEOUT_S, 1.25)
    assert tracker.all_stalled(1.3) == {"e0"}
    assert tracker.own_stalled(1.3) == frozenset()
    tracker.record_event("e0", 1.3)
    assert not tracker.is_stalled("e0", STALL_TIMEOUT_S, 1.35)


def test_stalls_expire():
    tracker = stall_tracker.StallTracker()
    tracker.record_stall("e0", 1.0)
    assert not tracker.is_stalled("e0", STALL_TIMEOUT_S, 1.1 + stall_tracker.STALL_LIFETIME_S)
    assert tracker.own_stalled(1.1 + stall_tracker.STALL_LIFETIME_S) == frozenset()
