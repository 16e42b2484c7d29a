"""A seeded event loop for trials of decision modules."""

import heapq


class EventLoop:
    """Calls functions in order of time; equal times keep the order of their planning."""

    def __init__(self):
        self._now = 0.0
        self._events = []
        self._serial = 0

    @property
    def now(self):
        """Present time of the trial, seconds."""
        return self._now

    def at(self, moment, function, *arguments):
        """Call a function at a time, in seconds."""
        self._serial += 1
        heapq.heappush(self._events, (moment, self._serial, function, arguments))

    def after(self, delay_s, function, *arguments):
        """Call a function after a delay."""
        self.at(self._now + delay_s, function, *arguments)

    def run_until(self, end):
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= end:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self._now = end
