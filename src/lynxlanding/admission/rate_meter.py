"""Exponentially decayed rate."""

import math

TIME_CONSTANT_S = 5.0


class RateMeter:
    """Exponentially weighted moving average of a rate.

    Parameters
    ----------
    time_constant_s : float, optional
        Time in which the weight of an event falls to 37%, in seconds.
    """

    def __init__(self, time_constant_s=TIME_CONSTANT_S):
        self._time_constant_s = time_constant_s
        self._amount = 0.0
        self._updated_at = -math.inf

    def add(self, amount, now):
        """Add an amount."""
        self._amount = self._decayed_amount(now) + amount
        self._updated_at = now

    def rate(self, now):
        """Return the rate per second."""
        return self._decayed_amount(now) / self._time_constant_s

    def _decayed_amount(self, now):
        if self._amount == 0.0:
            return 0.0
        return self._amount * math.exp(-max(0.0, now - self._updated_at) / self._time_constant_s)
