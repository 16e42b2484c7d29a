import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import stream_position


def _event(number):
    return b"id: %d\ndata: x" % number


def test_rejected_events_leave_the_position_unchanged():
    """Guards against tokens that are lost because a faulty event arrives in the same chunk."""
    position = stream_position.StreamPosition()
    position.accept([_event(0)])
    for faulty in (_event(3), b"data: no number"):
        with pytest.raises(endpoint_errors.AttemptError):
            position.accept([_event(1), faulty])
        assert position.last_event_id == 0
    assert position.accept([_event(0), _event(1)]) == ([_event(1)], False)


def test_whole_chunks_and_split_events_share_the_position():
    """Guards against duplicate tokens when a resumed stream uses both ways of accepting events."""
    position = stream_position.StreamPosition()
    assert position.accept_chunk(_event(0) + b"\n\n")
    assert not position.accept_chunk(_event(0) + b"\n\n")
    assert not position.accept_chunk(_event(1) + b"\n\n" + _event(2) + b"\n\n")
    assert position.accept([_event(0), _event(1)]) == ([_event(1)], False)
    assert position.accept_chunk(_event(2) + b"\n\n")
