import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import stream_position


def _event(number):
    return b"id: %d\ndata: x" % number


def test_failed_chunk_changes_nothing():
    """Guards against tokens that are lost because they came in one chunk with a gap."""
    position = stream_position.StreamPosition()
    position.accept([_event(0)])
    for faulty in (_event(3), b"data: no number"):
        with pytest.raises(endpoint_errors.AttemptError):
            position.accept([_event(1), faulty])
        assert position.last_event_id == 0
    assert position.accept([_event(0), _event(1)]) == ([_event(1)], False)


def test_short_path_and_events_share_the_position():
    """Guards against doubled tokens when a resumed stream mixes both ways of accepting."""
    position = stream_position.StreamPosition()
    assert position.accept_chunk(_event(0) + b"\n\n")
    assert not position.accept_chunk(_event(0) + b"\n\n")
    assert not position.accept_chunk(_event(1) + b"\n\n" + _event(2) + b"\n\n")
    assert position.accept([_event(0), _event(1)]) == ([_event(1)], False)
    assert position.accept_chunk(_event(2) + b"\n\n")
