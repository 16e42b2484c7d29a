from lynxlanding.dispatch import load_tracker


def test_estimate_includes_the_counts_of_peers():
    tracker = load_tracker.LoadTracker()
    tracker.begin("i-1")
    tracker.replace_peer_counts("n2", {"i-1": 3, "i-2": 1}, 0.0)
    tracker.replace_peer_counts("n3", {"i-1": 2}, 0.0)
    assert tracker.estimate("i-1", 0.1) == 6
    tracker.replace_peer_counts("n2", {"i-2": 4}, 0.2)
    assert tracker.estimate("i-1", 0.3) == 3
    assert tracker.estimate("i-2", 0.3) == 4


def test_counts_of_a_silent_peer_expire():
    """Guards against endpoints that seem full after a node with requests there was killed."""
    tracker = load_tracker.LoadTracker()
    tracker.replace_peer_counts("n2", {"i-1": 3}, 0.0)
    tracker.expire_peers(load_tracker.PEER_REPORT_LIFETIME_S + 0.1)
    assert tracker.estimate("i-1", 2.0) == 0


def test_load_reported_by_the_endpoint_is_used_until_it_expires():
    """Guards against overloading an endpoint that also serves requests unknown to the nodes."""
    tracker = load_tracker.LoadTracker()
    tracker.record_reported_load("i-1", 7, 0.0)
    assert tracker.estimate("i-1", 0.2) == 7
    assert tracker.estimate("i-1", 1.0) == 0


def test_counts_do_not_become_negative():
    tracker = load_tracker.LoadTracker()
    tracker.begin("i-1")
    tracker.end("i-1")
    tracker.end("i-1")
    assert tracker.own_counts == {}
