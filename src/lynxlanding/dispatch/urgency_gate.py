"""Keeps scarce allowances for the most urgent requests."""

import dataclasses
import math

# Demand is averaged over about this time.
DEMAND_TIME_S = 4.0
# Requests of a shorter time do not tell the rate.
MIN_OBSERVED_S = 1.0


@dataclasses.dataclass(slots=True)
class _Demand:
    started_at: float
    updated_at: float
    decayed_count: float = 0.0

    def add(self, now):
        self.decayed_count = self._count(now) + 1.0
        self.updated_at = now

    def rate_per_s(self, now):
        observed_s = max(MIN_OBSERVED_S, now - self.started_at)
        return self._count(now) / (DEMAND_TIME_S * (1.0 - math.exp(-observed_s / DEMAND_TIME_S)))

    def _count(self, now):
        return self.decayed_count * math.exp(-(now - self.updated_at) / DEMAND_TIME_S)


@dataclasses.dataclass(slots=True)
class _Remainder:
    tokens: float = 1.0
    updated_at: float = 0.0


class UrgencyGate:
    """Admits less urgent requests to what more urgent ones leave; performs no I/O.

    Used where every endpoint limits its requests, so that any request served takes the place of
    another one.
    """

    def __init__(self):
        self._demands = {}
        self._remainders = {}

    def admits(self, key, priority, supply_per_s, now):
        """Record a request and return whether it may use the supply.

        Parameters
        ----------
        key : hashable
            Requests with the same key compete.
        priority : int
            Rank of the request; 0 is the most urgent.
        supply_per_s : float
            Requests a second that this node may send.
        now : float
            Monotonic seconds.
        """
        demands = self._demands.setdefault(key, {})
        demands.setdefault(priority, _Demand(now, now)).add(now)
        more_urgent_per_s = 0.0
        for other, demand in demands.items():
            if other < priority:
                more_urgent_per_s += demand.rate_per_s(now)
        if more_urgent_per_s <= 0.0:
            return True
        remainder = self._remainders.setdefault((key, priority), _Remainder(updated_at=now))
        left_per_s = max(0.0, supply_per_s - more_urgent_per_s)
        earned = left_per_s * (now - remainder.updated_at)
        remainder.tokens = min(1.0, remainder.tokens + earned)
        remainder.updated_at = now
        if remainder.tokens < 1.0:
            return False
        remainder.tokens -= 1.0
        return True
