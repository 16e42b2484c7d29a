"""Exponentially decayed rate."""

import math

HORIZON_S = 5.0


class RateMeter:
    """Rate of events over about the last seconds.

    Parameters
    ----------
    horizon_s : float, optional
        Time in which the weight of an event falls to 37%, in seconds.
    """

    def __init__(self, horizon_s=HORIZON_S):
        self._horizon_s = horizon_s
        self._amount = 0.0
        self._observed_at = -math.inf

    def observe(self, amount, now):
        """Count an amount."""
        self._amount = self._decayed(now) + amount
        self._observed_at = now

    def rate(self, now):
        """Return the amount for each second."""
        return self._decayed(now) / self._horizon_s

    def _decayed(self, now):
        if self._amount == 0.0:
            return 0.0
        return self._amount * math.exp(-max(0.0, now - self._observed_at) / self._horizon_s)
