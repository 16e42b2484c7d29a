"""Relays a stream to the caller."""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import stream_aborted


class StreamRelay:
    """Events of a stream, over the endpoints that serve it one after the other.

    Parameters
    ----------
    run : RequestRun
        Goes on at another endpoint after a failure.
    record : EndpointRecord
        Endpoint that serves the stream.
    response : EndpointResponse
        Its response.
    events : EventBuffer
        Cuts the body into events.
    first : bytes
        Events that were read already.
    """

    def __init__(self, run, record, response, events, first):
        self._run = run
        self._record = record
        self._response = response
        self._events = events
        self._first = first
        self._iterator = self._iterate()

    def __iter__(self):
        return self._iterator

    def close(self):
        """End the stream, which also cancels the work at the endpoint."""
        self._iterator.close()
        self._release()

    @property
    def source(self):
        """Endpoint, response, events and first bytes, for a relay that goes on with them."""
        return self._record, self._response, self._events, self._first

    def _iterate(self):
        if self._first:
            yield self._first
        while True:
            try:
                for chunk in self._response.chunks:
                    whole = self._events.feed(chunk)
                    if whole:
                        yield whole
                if not self._events.is_empty:
                    raise endpoint_errors.ResponseTruncated("the stream ends inside an event")
                self._release()
                return
            except endpoint_errors.AttemptError as e:
                first = self._switch(e)
            if first:
                yield first

    def _switch(self, error):
        failed = self._record
        self._release()
        try:
            reply = self._run.resume(failed, error, self._events.last_id)
        except request_errors.RequestError as e:
            raise stream_aborted.StreamAborted(str(e)) from e
        self._record, self._response, self._events, first = reply.stream.source
        return first

    def _release(self):
        response = self._response
        if response is None:
            return
        self._response = None
        response.chunks.close()
        self._run.finish_attempt(self._record)
