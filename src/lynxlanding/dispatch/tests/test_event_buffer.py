import pytest

from lynxlanding.dispatch import event_buffer
from lynxlanding.errors import endpoint as endpoint_errors


def make_event(event_id):
    return b"id: %d\ndata: x\n\n" % event_id


def test_buffers_an_event_until_it_is_complete():
    """Guards against a partial event before a stream resumes at another engine."""
    buffer = event_buffer.EventBuffer()
    assert buffer.feed(make_event(1) + b"id: 2\nda") == make_event(1)
    assert buffer.last_id == 1
    assert not buffer.is_empty
    assert buffer.feed(b"ta: x\n\n") == make_event(2)
    assert buffer.last_id == 2
    assert buffer.is_empty


def test_output_does_not_depend_on_chunk_boundaries():
    data = make_event(7) + make_event(8) + make_event(9)
    for boundary in range(len(data)):
        buffer = event_buffer.EventBuffer()
        assert buffer.feed(data[:boundary]) + buffer.feed(data[boundary:]) == data


@pytest.mark.parametrize("next_event", [make_event(2), make_event(4)])
def test_rejects_repeated_and_missing_events(next_event):
    buffer = event_buffer.EventBuffer(2)
    assert buffer.feed(next_event) == b""
    assert isinstance(buffer.violation, endpoint_errors.EventGap)


@pytest.mark.parametrize(
    "event",
    [
        b"id: x",
        b"id: \x1a4",
        b"id: 1_4",
        b"id: +4",
        b"id: " + b"4" * 5000,
        b"xd: 4\ndata: x",
        b"data: x",
        b"id: 4\ndata: x\nid: 5",
        b"id: 4\ndata: " + b"a" * event_buffer.MAX_EVENT_BYTES,
    ],
    ids=lambda event: repr(event[:20]),
)
def test_rejects_an_event_that_is_spoilt_or_oversized(event):
    """Guards against an event that the position of the stream leaves out."""
    buffer = event_buffer.EventBuffer(3)
    assert buffer.feed(event + b"\n\n") == b""
    assert isinstance(buffer.violation, endpoint_errors.MalformedResponse)
    assert buffer.last_id == 3


def test_rejects_an_event_without_end():
    buffer = event_buffer.EventBuffer()
    assert buffer.feed(make_event(1) + b"a" * (event_buffer.MAX_EVENT_BYTES + 1)) == make_event(1)
    assert isinstance(buffer.violation, endpoint_errors.MalformedResponse)


@pytest.mark.parametrize("bad_event", [b"id: x\n\n", b"data: x\n\n", make_event(2), make_event(5)])
def test_position_is_that_of_the_returned_events(bad_event):
    """Guards against a stream resumed after events that no caller has got."""
    data = make_event(1) + make_event(2) + bad_event + make_event(3)
    for boundary in range(len(data)):
        buffer = event_buffer.EventBuffer()
        returned = buffer.feed(data[:boundary]) + buffer.feed(data[boundary:])
        assert returned == make_event(1) + make_event(2)
        assert buffer.last_id == buffer.event_count == 2
        assert buffer.violation is not None
