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
    with pytest.raises(endpoint_errors.EventGap):
        buffer.feed(next_event)


def test_rejects_an_invalid_id_and_an_oversized_event():
    with pytest.raises(endpoint_errors.MalformedResponse):
        event_buffer.EventBuffer().feed(b"id: x\n\n")
    with pytest.raises(endpoint_errors.MalformedResponse):
        event_buffer.EventBuffer().feed(b"a" * (event_buffer.MAX_EVENT_BYTES + 1))
