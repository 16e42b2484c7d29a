"""Position in a stream that several attempts deliver."""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import event_splitter


class StreamPosition:
    """Accepts each event exactly once and in order."""

    def __init__(self):
        self._next_event_id = 0
        self._duplicates = 0

    @property
    def last_event_id(self):
        """Number of the last accepted event; None before the first."""
        return self._next_event_id - 1 if self._next_event_id else None

    @property
    def duplicates(self):
        """Number of events that were dropped because they had already been accepted."""
        return self._duplicates

    def accept_chunk(self, chunk):
        """Accept ``chunk`` if it is exactly the next event; return whether it was accepted."""
        if not event_splitter.is_single_event(chunk, self._next_event_id):
            return False
        self._next_event_id += 1
        return True

    def accept(self, events):
        """Return the new events and whether the stream is done.

        Raises
        ------
        errors.endpoint.EventGap
            If an event is missing.
        errors.endpoint.MalformedResponse
            If an event has no number.
        """
        accepted = []
        next_event_id = self._next_event_id
        done = False
        for event in events:
            if event == event_splitter.DONE:
                accepted.append(event)
                done = True
                break
            number = event_splitter.parse_event_id(event)
            if number < next_event_id:
                self._duplicates += 1
                continue
            if number > next_event_id:
                raise endpoint_errors.EventGap(f"event {next_event_id} is missing")
            next_event_id += 1
            accepted.append(event)
        # The position changes only if all events are valid: the events before a faulty one are not
        # forwarded, so that the next attempt has to send them again.
        self._next_event_id = next_event_id
        return accepted, done
