from lynxlanding.dispatch import load_tracker


def test_adds_the_counts_of_peers():
    book = load_tracker.LoadBook()
    book.begin("i-1")
    book.replace_peer("n2", {"i-1": 3, "i-2": 1}, 0.0)
    book.replace_peer("n3", {"i-1": 2}, 0.0)
    assert book.estimate("i-1", 0.1) == 6
    book.replace_peer("n2", {"i-2": 4}, 0.2)
    assert book.estimate("i-1", 0.3) == 3
    assert book.estimate("i-2", 0.3) == 4


def test_forgets_a_peer_that_is_silent():
    """Guards against endpoints that look full after the node that used them was killed."""
    book = load_tracker.LoadBook()
    book.replace_peer("n2", {"i-1": 3}, 0.0)
    book.expire(load_tracker.PEER_REPORT_LIFETIME_S + 0.1)
    assert book.estimate("i-1", 2.0) == 0


def test_the_endpoints_own_word_counts_for_a_moment():
    """Guards against overloading an endpoint that unknown callers use."""
    book = load_tracker.LoadBook()
    book.state("i-1", 7, 0.0)
    assert book.estimate("i-1", 0.2) == 7
    assert book.estimate("i-1", 1.0) == 0


def test_ends_do_not_go_below_zero():
    book = load_tracker.LoadBook()
    book.begin("i-1")
    book.end("i-1")
    book.end("i-1")
    assert book.own == {}
