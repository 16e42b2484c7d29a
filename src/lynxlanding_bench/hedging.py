"""Compares hedged with plain requests on queueing engines, in virtual time."""

import heapq
import itertools

import numpy as np

ENGINES = 20
SLOTS = 8
MEAN_S = 0.1
DEADLINE_S = 3.0
# A small share of attempts may meet a transient stall, which routing cannot foresee.
STALL_SHARES = (0.0, 0.01)
STALL_FACTOR = 20.0
# A hedge is sent after the 95th percentile of the plain time, as the literature recommends
# (Dean and Barroso, "The Tail at Scale", 2013), and takes from the same budget as a retry.
HEDGE_AFTER_S = 0.22
EARNED_PER_REQUEST = 0.09
BURST = 10.0


class Comparison:
    """One run; engines serve first in, first out, and the shortest queue is chosen.

    Parameters
    ----------
    load : float
        Offered load as a share of the capacity.
    is_hedged : bool
        Whether a second attempt is sent after ``HEDGE_AFTER_S``.
    stall_share : float
        Share of attempts that take ``STALL_FACTOR`` times as long.
    requests : int
        Number of requests.
    seed : int
        Seed of the random state.
    """

    def __init__(self, load, is_hedged, stall_share, requests, seed):
        self._is_hedged = is_hedged
        self._stall_share = stall_share
        self._random_state = np.random.default_rng(seed)
        self._due = []
        self._order = itertools.count()
        self._running = [0] * ENGINES
        self._queues = [[] for _ in range(ENGINES)]
        self._tokens = BURST
        self._hedges = 0
        self._started = {}
        self._attempts = {}
        self._durations = []
        mean_service_s = MEAN_S * (1 + stall_share * (STALL_FACTOR - 1))
        self._interval_s = mean_service_s / (ENGINES * SLOTS * load)
        self._requests = requests

    def run(self):
        """Return the measured row."""
        now = 0.0
        arrivals = self._random_state.exponential(self._interval_s, self._requests).cumsum()
        for request, at in enumerate(arrivals):
            self._push(at, self._arrive, request)
        while self._due:
            now, _, callback, arguments = heapq.heappop(self._due)
            callback(now, *arguments)
        durations = np.array(self._durations)
        return {
            "p50_s": float(np.percentile(durations, 50)),
            "p95_s": float(np.percentile(durations, 95)),
            "p99_s": float(np.percentile(durations, 99)),
            "in_time_share": float((durations <= DEADLINE_S).sum() / self._requests),
            "hedge_share": self._hedges / self._requests,
        }

    def _push(self, at, callback, *arguments):
        heapq.heappush(self._due, (at, next(self._order), callback, arguments))

    def _arrive(self, now, request):
        self._started[request] = now
        self._attempts[request] = []
        self._tokens = min(BURST, self._tokens + EARNED_PER_REQUEST)
        self._send(now, request)
        if self._is_hedged:
            self._push(now + HEDGE_AFTER_S, self._hedge, request)

    def _hedge(self, now, request):
        if request not in self._started or self._tokens < 1.0:
            return
        self._tokens -= 1.0
        self._hedges += 1
        self._send(now, request)

    def _send(self, now, request):
        taken = [engine for engine, _ in self._attempts[request]]
        engine = min(
            (number for number in range(ENGINES) if number not in taken),
            key=lambda number: self._running[number] + len(self._queues[number]),
        )
        attempt = (engine, next(self._order))
        self._attempts[request].append(attempt)
        self._queues[engine].append((request, attempt))
        self._start_next(now, engine)

    def _start_next(self, now, engine):
        while self._queues[engine] and self._running[engine] < SLOTS:
            request, attempt = self._queues[engine].pop(0)
            if now - self._started.get(request, -DEADLINE_S) > DEADLINE_S:
                self._finish(now, request)
                continue
            self._running[engine] += 1
            duration_s = self._random_state.lognormal(np.log(MEAN_S) - 0.125, 0.5)
            if self._random_state.random() < self._stall_share:
                duration_s *= STALL_FACTOR
            self._push(now + duration_s, self._end, request, attempt)

    def _end(self, now, request, attempt):
        if request not in self._started or attempt not in self._attempts[request]:
            # Cancelled: the slot was freed when the other attempt finished.
            return
        self._running[attempt[0]] -= 1
        self._attempts[request].remove(attempt)
        self._finish(now, request)
        self._start_next(now, attempt[0])

    def _finish(self, now, request):
        started_at = self._started.pop(request, None)
        if started_at is None:
            return
        self._durations.append(now - started_at)
        for engine, _ in self._attempts.pop(request):
            waiting = [entry for entry in self._queues[engine] if entry[0] != request]
            if len(waiting) == len(self._queues[engine]):
                self._running[engine] -= 1
                self._push(now, self._start_next, engine)
            self._queues[engine] = waiting


def compare(requests, seed):
    """Return one row for each load, plain and hedged."""
    rows = []
    for stall_share, load in itertools.product(STALL_SHARES, (0.5, 0.9, 1.5)):
        for is_hedged in (False, True):
            row = Comparison(load, is_hedged, stall_share, requests, seed).run()
            case = {"stall_share": stall_share, "load": load, "hedged": is_hedged}
            rows.append({**case, **row})
    return rows
