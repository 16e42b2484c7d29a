"""Position in a stream over several attempts."""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import event_splitter


class StreamPosition:
    """Passes each event exactly once and in order."""

    def __init__(self):
        self._expected = 0
        self._duplicates = 0

    @property
    def last_event_id(self):
        """Number of the last event that was passed; None before the first."""
        return self._expected - 1 if self._expected else None

    @property
    def duplicates(self):
        """Number of events that were dropped because they had been passed already."""
        return self._duplicates

    def accept_chunk(self, chunk):
        """Return whether ``chunk`` is exactly the next event, which then counts as passed."""
        if not event_splitter.is_one_event(chunk, self._expected):
            return False
        self._expected += 1
        return True

    def accept(self, events):
        """Return the new events and whether the stream is done.

        Raises
        ------
        errors.endpoint.EventGap
            If an event is missing.
        errors.endpoint.MalformedResponse
            If an event carries no number.
        """
        accepted = []
        expected = self._expected
        done = False
        for event in events:
            if event == event_splitter.DONE:
                accepted.append(event)
                done = True
                break
            number = event_splitter.event_id(event)
            if number < expected:
                self._duplicates += 1
                continue
            if number > expected:
                raise endpoint_errors.EventGap(f"event {expected} is missing")
            expected += 1
            accepted.append(event)
        # Changed only now: the events before a faulty one are not forwarded, so the next attempt
        # has to send them again.
        self._expected = expected
        return accepted, done
