"""Splits a byte stream into complete server-sent events."""

from lynxlanding.errors import endpoint as endpoint_errors

MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"
_ID_PREFIX = b"id:"
_COMMENT_PREFIX = b":"


class EventBuffer:
    """Buffers an event until it is complete and checks that event ids are consecutive.

    Parameters
    ----------
    last_id : int or None
        Id of the event before the first one.
    """

    __slots__ = ("_event_count", "_last_id", "_pending")

    def __init__(self, last_id=None):
        self._pending = b""
        self._last_id = last_id
        self._event_count = 0

    @property
    def event_count(self):
        """Number of complete events; comments do not count."""
        return self._event_count

    @property
    def last_id(self):
        """Id of the last complete event, or None."""
        return self._last_id

    @property
    def is_empty(self):
        """Whether no incomplete event is buffered."""
        return not self._pending

    def feed(self, chunk):
        """Return the bytes of the events completed by ``chunk``.

        Raises
        ------
        errors.endpoint.EventGap
            If an event id does not follow the previous one.
        errors.endpoint.MalformedResponse
            If an event id is not a number or an event is too large.
        """
        data = self._pending + chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._set_pending(data)
            return b""
        complete = data[: end + 2]
        self._set_pending(data[end + 2 :])
        for event in complete.split(_EVENT_END):
            if event:
                self._check_id(event)
                self._event_count += not _is_comment(event)
        return complete

    def _set_pending(self, data):
        if len(data) > MAX_EVENT_BYTES:
            raise endpoint_errors.MalformedResponse("server-sent event is too large")
        self._pending = data

    def _check_id(self, event):
        for line in event.split(b"\n"):
            if not line.startswith(_ID_PREFIX):
                continue
            try:
                event_id = int(line[len(_ID_PREFIX) :])
            except ValueError as e:
                raise endpoint_errors.MalformedResponse("event id is not a number") from e
            if self._last_id is not None and event_id != self._last_id + 1:
                raise endpoint_errors.EventGap(f"event {event_id} after {self._last_id}")
            self._last_id = event_id
            return


def _is_comment(event):
    """Return whether an event consists of comments only."""
    return event.startswith(_COMMENT_PREFIX) and all(
        line.startswith(_COMMENT_PREFIX) for line in event.split(b"\n")
    )
