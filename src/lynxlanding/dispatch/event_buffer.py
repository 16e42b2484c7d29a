"""Splits a byte stream into complete server-sent events."""

import re

from lynxlanding.errors import endpoint as endpoint_errors

MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"
_ID_PREFIX = b"id:"
# 18 digits fit into 64 bits.
_ID_LINE = re.compile(rb"id: ?(?P<id>\d{1,18})")
_COMMENT_PREFIX = b":"
# Any other line shows that the body is something else than events, or that the line is spoilt.
_FIELD_LINE = re.compile(rb"[a-z][a-z0-9_-]*(?::[^\r]*)?")


class EventBuffer:
    """Buffers an event until it is complete and checks that event ids are consecutive.

    Parameters
    ----------
    last_id : int or None
        Id of the event before the first one.
    """

    __slots__ = ("_event_count", "_last_id", "_pending", "_violation")

    def __init__(self, last_id=None):
        self._pending = b""
        self._last_id = last_id
        self._event_count = 0
        self._violation = None

    @property
    def event_count(self):
        """Number of valid events; comments do not count."""
        return self._event_count

    @property
    def last_id(self):
        """Id of the last event that ``feed`` has returned, or None."""
        return self._last_id

    @property
    def violation(self):
        """``AttemptError`` of the first invalid event, or None; nothing is returned after it."""
        return self._violation

    @property
    def is_empty(self):
        """Whether no incomplete event is buffered."""
        return not self._pending

    def feed(self, chunk):
        """Return the bytes of the events completed by ``chunk``, up to the first invalid one.

        The events before an invalid one are returned, because a stream is resumed after them.
        """
        if self._violation is not None:
            return b""
        data = self._pending + chunk
        *events, self._pending = data.split(_EVENT_END)
        valid_bytes = 0
        try:
            for event in events:
                self._accept(event)
                valid_bytes += len(event) + len(_EVENT_END)
            _check_size(self._pending)
        except endpoint_errors.AttemptError as e:
            self._violation = e
        return data[:valid_bytes]

    def _accept(self, event):
        """Check an event and advance the position."""
        if not event or _is_comment(event):
            return
        event_id = _parse_id(event)
        if self._last_id is not None and event_id != self._last_id + 1:
            raise endpoint_errors.EventGap(f"event {event_id} after {self._last_id}")
        self._last_id = event_id
        self._event_count += 1


def _check_size(event):
    if len(event) > MAX_EVENT_BYTES:
        raise endpoint_errors.MalformedResponse("server-sent event is too large")


def _parse_id(event):
    """Return the id of an event, which must have exactly one."""
    _check_size(event)
    id_lines = []
    for line in event.split(b"\n"):
        if line.startswith(_COMMENT_PREFIX):
            continue
        if _FIELD_LINE.fullmatch(line) is None:
            raise endpoint_errors.MalformedResponse(f"no line of an event: {line[:80]!r}")
        if line.startswith(_ID_PREFIX):
            id_lines.append(line)
    if len(id_lines) != 1:
        raise endpoint_errors.MalformedResponse(f"event with {len(id_lines)} ids")
    match = _ID_LINE.fullmatch(id_lines[0])
    if match is None:
        raise endpoint_errors.MalformedResponse("event id is not a number")
    return int(match["id"])


def _is_comment(event):
    """Return whether an event consists of comments only."""
    return event.startswith(_COMMENT_PREFIX) and all(
        line.startswith(_COMMENT_PREFIX) for line in event.split(b"\n")
    )
