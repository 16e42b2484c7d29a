"""Runs generators in virtual time, for seeded fault schedules."""

import heapq
import itertools


class VirtualTime:
    """Heap of due callbacks."""

    def __init__(self):
        self.now = 0.0
        self._due = []
        self._order = itertools.count()

    def at(self, when, callback, *arguments):
        heapq.heappush(self._due, (max(when, self.now), next(self._order), callback, arguments))

    def after(self, delay_s, callback, *arguments):
        self.at(self.now + delay_s, callback, *arguments)

    def run(self, until):
        while self._due and self._due[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._due)
            callback(*arguments)


class FakeNode:
    """A process that may die, be paused and be replaced; it resumes its generators."""

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
        """Run a generator; each yielded operation is called with a function that resumes it."""
        self._resume(generator, self.incarnation, None)

    def _resume(self, generator, incarnation, value):
        if incarnation != self.incarnation:
            return
        if self.clock.now < self.paused_until:
            self.clock.at(self.paused_until, self._resume, generator, incarnation, value)
            return
        try:
            operation = generator.send(value)
        except StopIteration:
            return
        operation(lambda result: self._resume(generator, incarnation, result))
