"""Relays streams that break off to a caller, with resuming answers from a script."""

import pytest

from lynxlanding.dispatch import event_buffer, reply, stream_relay
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import stream_aborted


def make_event(event_id):
    return b"id: %d\ndata: x\n\n" % event_id


class ScriptedResponse:
    """Response whose reads are given; one that is an error breaks it off."""

    def __init__(self, *reads, ends_with_connection=False):
        self.ends_with_connection = ends_with_connection
        self.chunks = self._iterate(reads)

    def record_progress(self):
        pass

    def _iterate(self, reads):
        for read in reads:
            if isinstance(read, Exception):
                raise read
            yield read


class ResumingForwarder:
    """Resumes with the responses of a script, and records from which position."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.positions = []
        self.errors = []

    def resume(self, record, error, last_id):
        while True:
            self.positions.append(last_id)
            self.errors.append(error)
            if not self.responses:
                raise request_errors.EndpointFailed("no other endpoint")
            response = self.responses.pop(0)
            buffer = event_buffer.EventBuffer(last_id)
            try:
                first_events = stream_relay.read_first_events(response, buffer)
            except endpoint_errors.AttemptError as e:
                error = e
                continue
            relay = stream_relay.StreamRelay(self, record, response, buffer, first_events)
            return reply.Reply(200, [], stream=relay)

    def complete_attempt(self):
        pass

    def finish_attempt(self, record):
        pass


def relay(forwarder, first):
    """Return the relay of a first response, as the caller gets it."""
    buffer = event_buffer.EventBuffer()
    first_events = stream_relay.read_first_events(first, buffer)
    return stream_relay.StreamRelay(forwarder, None, first, buffer, first_events)


def test_stream_without_framing_that_ends_before_its_first_event_is_not_whole():
    """Guards against an answer that breaks off after its head and is passed on as a whole one."""
    first = ScriptedResponse(ends_with_connection=True)
    with pytest.raises(endpoint_errors.ResponseTruncated):
        stream_relay.read_first_events(first, event_buffer.EventBuffer())


def test_resuming_answer_without_events_does_not_end_the_stream_as_whole():
    """Guards against a resumed stream that breaks off after its head and looks complete."""
    forwarder = ResumingForwarder(ScriptedResponse(ends_with_connection=True))
    broken = ScriptedResponse(make_event(1), endpoint_errors.ResponseTruncated("cut"))
    received = []
    with pytest.raises(stream_aborted.StreamAborted):
        received.extend(relay(forwarder, broken))
    assert received == [make_event(1)]
    assert forwarder.positions == [1, 1]


def test_stream_without_framing_ends_with_its_connection():
    first = ScriptedResponse(make_event(1), make_event(2), ends_with_connection=True)
    assert list(relay(ResumingForwarder(), first)) == [make_event(1), make_event(2)]


def test_resuming_answer_with_framing_may_have_no_events():
    """Guards against a stream that is cut after its last event has reached the caller."""
    forwarder = ResumingForwarder(ScriptedResponse())
    broken = ScriptedResponse(make_event(1), endpoint_errors.ResponseTruncated("cut"))
    assert list(relay(forwarder, broken)) == [make_event(1)]
