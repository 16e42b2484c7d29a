"""Cuts a stream of server-sent events into whole events."""

from lynxlanding.errors import endpoint as endpoint_errors

MAX_EVENT_BYTES = 1 << 20
_END = b"\n\n"
_ID = b"id:"


class EventBuffer:
    """Holds back an event until it is complete."""

    __slots__ = ("_last_id", "_rest")

    def __init__(self, last_id=None):
        self._rest = b""
        self._last_id = last_id

    @property
    def last_id(self):
        """Id of the last complete event, or None."""
        return self._last_id

    @property
    def is_empty(self):
        """Whether no incomplete event is held."""
        return not self._rest

    def feed(self, chunk):
        """Return the bytes of the events completed by ``chunk``.

        Raises
        ------
        errors.endpoint.EventGap
            If an id does not follow the one before it.
        errors.endpoint.MalformedResponse
            If an event has no readable id or is too large.
        """
        data = self._rest + chunk
        end = data.rfind(_END)
        if end < 0:
            self._keep(data)
            return b""
        whole = data[: end + 2]
        self._keep(data[end + 2 :])
        for event in whole.split(_END):
            if event:
                self._check(event)
        return whole

    def _keep(self, rest):
        if len(rest) > MAX_EVENT_BYTES:
            raise endpoint_errors.MalformedResponse("server-sent event is too large")
        self._rest = rest

    def _check(self, event):
        for line in event.split(b"\n"):
            if not line.startswith(_ID):
                continue
            try:
                event_id = int(line[len(_ID) :])
            except ValueError as e:
                raise endpoint_errors.MalformedResponse("event id is not a number") from e
            if self._last_id is not None and event_id != self._last_id + 1:
                raise endpoint_errors.EventGap(f"event {event_id} after {self._last_id}")
            self._last_id = event_id
            return
