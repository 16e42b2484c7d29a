"""Relays a stream of server-sent events to the caller."""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import stream_aborted

EVENT_STREAM = "text/event-stream"


def read_events(response, buffer):
    """Iterate over the complete events of a stream and record its progress.

    Parts of an event and comments are no progress: an endpoint that has stalled may send them. An
    invalid event raises its error once the caller has taken the events before it, also if they
    were read by an earlier iterator over the same stream.

    Parameters
    ----------
    response : EndpointResponse
        Response to read.
    buffer : EventBuffer
        Splits the body into events.

    Raises
    ------
    errors.endpoint.AttemptError
        If the body is truncated or has an invalid event.
    """
    event_count = buffer.event_count
    _check_events(buffer)
    for chunk in response.chunks:
        events = buffer.feed(chunk)
        if buffer.event_count > event_count:
            event_count = buffer.event_count
            response.record_progress()
        if events:
            yield events
        _check_events(buffer)


def read_first_events(response, buffer):
    """Return the first complete events of a stream; empty if it has none.

    Raises
    ------
    errors.endpoint.ResponseTruncated
        If the stream ends inside an event, or its connection ends before the first one.
    errors.endpoint.MalformedResponse
        If an event is not valid, or the answer has no events and is of another type.
    """
    for events in read_events(response, buffer):
        return events
    _check_end(response, buffer)
    return b""


def _check_events(buffer):
    """Raise the error of an invalid event, if there was one."""
    if buffer.violation is not None:
        raise buffer.violation


def _check_end(response, buffer):
    """Raise an ``AttemptError`` unless a stream that has ended may be whole."""
    if not buffer.is_empty:
        raise endpoint_errors.ResponseTruncated("the stream ends inside an event")
    if buffer.event_count:
        return
    if response.ends_with_connection:
        # The end of the connection is the only sign of the end, and an endpoint that breaks off
        # gives the same one.
        raise endpoint_errors.ResponseTruncated("the connection ends before the first event")
    if not _is_event_stream(response):
        raise endpoint_errors.MalformedResponse("the answer is no stream of events")


def _is_event_stream(response):
    for name, value in response.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower() == EVENT_STREAM
    return False


class StreamRelay:
    """Iterator over the events of a stream that fails over between endpoints.

    Parameters
    ----------
    forwarder : RequestForwarder
        Resumes the stream at another endpoint after a failure.
    record : EndpointRecord
        Endpoint that currently serves the stream.
    response : EndpointResponse
        Response of the endpoint.
    buffer : EventBuffer
        Splits the body into events.
    first_events : bytes
        Events that have already been read.
    """

    def __init__(self, forwarder, record, response, buffer, first_events):
        self._forwarder = forwarder
        self._record = record
        self._response = response
        self._buffer = buffer
        self._first_events = first_events
        self._iterator = self._iterate()

    def __iter__(self):
        return self._iterator

    def close(self):
        """End the stream and cancel the request at the endpoint."""
        self._iterator.close()
        self._release()
        self._forwarder.cancel_standby()

    @property
    def upstream(self):
        """What the relay that continues with it needs: forwarder, endpoint, response, buffer."""
        return self._forwarder, self._record, self._response, self._buffer

    @property
    def first_events(self):
        """Events that have already been read."""
        return self._first_events

    def _iterate(self):
        if self._first_events:
            yield self._first_events
        while True:
            try:
                for events in read_events(self._response, self._buffer):
                    # The endpoint goes on, so that nothing has to take over from it.
                    self._forwarder.cancel_standby()
                    self._forwarder.record_progress()
                    yield events
                _check_end(self._response, self._buffer)
                self._forwarder.complete_attempt()
                self._release()
                return
            except endpoint_errors.AttemptError as e:
                first_events = self._fail_over(e)
            if first_events:
                yield first_events

    def _fail_over(self, error):
        failed = self._record
        self._release()
        try:
            reply = self._forwarder.resume(failed, error, self._buffer.last_id)
        except request_errors.RequestError as e:
            raise stream_aborted.StreamAborted(str(e)) from e
        if reply.stream is None:
            raise stream_aborted.StreamAborted(f"resuming was answered with status {reply.status}")
        self._forwarder, self._record, self._response, self._buffer = reply.stream.upstream
        return reply.stream.first_events

    def _release(self):
        response = self._response
        if response is None:
            return
        self._response = None
        response.chunks.close()
        self._forwarder.finish_attempt(self._record)
