"""Virtual clock and simulated processes for seeded simulations."""

import heapq
import itertools


class VirtualClock:
    """Clock that advances to the due time of each scheduled callback."""

    def __init__(self):
        self.now = 0.0
        self._queue = []
        self._sequence = itertools.count()

    def schedule_at(self, when, callback, *arguments):
        heapq.heappush(
            self._queue, (max(when, self.now), next(self._sequence), callback, arguments)
        )

    def schedule_after(self, delay_s, callback, *arguments):
        self.schedule_at(self.now + delay_s, callback, *arguments)

    def run(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)


class SimulatedNode:
    """Simulated process that runs generators and can die, pause and restart."""

    def __init__(self, clock, name):
        self.clock = clock
        self.name = name
        self.incarnation = 0
        self.dead_until = 0.0
        self.paused_until = 0.0
        self.own_claims = {}

    @property
    def is_up(self):
        return self.clock.now >= self.dead_until

    def die(self, until):
        self.incarnation += 1
        self.dead_until = until
        self.paused_until = 0.0
        self.own_claims = {}

    def spawn(self, generator):
        """Run a generator. Each operation it yields is called with a function that resumes it."""
        self._resume(generator, self.incarnation, None)

    def _resume(self, generator, incarnation, value):
        if incarnation != self.incarnation:
            return
        if self.clock.now < self.paused_until:
            self.clock.schedule_at(self.paused_until, self._resume, generator, incarnation, value)
            return
        try:
            operation = generator.send(value)
        except StopIteration:
            return
        operation(lambda result: self._resume(generator, incarnation, result))
