from lynxlanding.dispatch import stall_board

STALL_TIMEOUT_S = 0.1


def test_endpoint_is_stalled_until_it_sends_an_event():
    stalls = stall_board.StallBoard()
    stalls.record_event("e0", 1.0)
    assert not stalls.is_stalled("e0", STALL_TIMEOUT_S, 1.2)
    stalls.note_peer_stall("e0", 1.2)
    assert stalls.is_stalled("e0", STALL_TIMEOUT_S, 1.25)
    assert stalls.all(1.3) == {"e0"}
    assert stalls.own(1.3) == frozenset()
    stalls.record_event("e0", 1.3)
    assert not stalls.is_stalled("e0", STALL_TIMEOUT_S, 1.35)


def test_stalls_expire():
    stalls = stall_board.StallBoard()
    stalls.record_stall("e0", 1.0)
    assert not stalls.is_stalled("e0", STALL_TIMEOUT_S, 1.1 + stall_board.STALL_MEMORY_S)
    assert stalls.own(1.1 + stall_board.STALL_MEMORY_S) == frozenset()
