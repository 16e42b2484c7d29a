import pytest

from lynxlanding.dispatch import event_buffer
from lynxlanding.errors import endpoint as endpoint_errors


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_holds_back_an_event_until_it_is_complete():
    """Guards against half an event before a stream goes on at another engine."""
    events = event_buffer.EventBuffer()
    assert events.feed(event(1) + b"id: 2\nda") == event(1)
    assert events.last_id == 1
    assert not events.is_empty
    assert events.feed(b"ta: x\n\n") == event(2)
    assert events.last_id == 2
    assert events.is_empty


def test_every_split_gives_the_same_bytes():
    data = event(7) + event(8) + event(9)
    for cut in range(len(data)):
        events = event_buffer.EventBuffer()
        assert events.feed(data[:cut]) + events.feed(data[cut:]) == data


@pytest.mark.parametrize("following", [event(2), event(4)])
def test_refuses_a_repeated_and_a_missing_event(following):
    events = event_buffer.EventBuffer(2)
    with pytest.raises(endpoint_errors.EventGap):
        events.feed(following)


def test_refuses_an_unreadable_id_and_an_endless_event():
    with pytest.raises(endpoint_errors.MalformedResponse):
        event_buffer.EventBuffer().feed(b"id: x\n\n")
    with pytest.raises(endpoint_errors.MalformedResponse):
        event_buffer.EventBuffer().feed(b"a" * (event_buffer.MAX_EVENT_BYTES + 1))
