from lynxlanding.dispatch import stall_board

SILENCE_S = 0.1


def test_an_endpoint_is_stalled_until_it_sends_something():
    board = stall_board.StallBoard()
    board.note_event("e0", 1.0)
    assert not board.is_stalled("e0", SILENCE_S, 1.2)
    board.note_peer_stall("e0", 1.2)
    assert board.is_stalled("e0", SILENCE_S, 1.25)
    assert board.all(1.3) == {"e0"}
    assert board.own(1.3) == frozenset()
    board.note_event("e0", 1.3)
    assert not board.is_stalled("e0", SILENCE_S, 1.35)


def test_stalls_are_forgotten():
    board = stall_board.StallBoard()
    board.note_stall("e0", 1.0)
    assert not board.is_stalled("e0", SILENCE_S, 1.1 + stall_board.STALL_MEMORY_S)
    assert board.own(1.1 + stall_board.STALL_MEMORY_S) == frozenset()
