"""Token bucket."""

import math

BURST_S = 5.0

# 410 nodes give a small workspace an allocation of a few requests per minute. With a bucket of one
# request, random arrivals at exactly that rate would find the bucket empty half of the time.
MIN_BURST = 10.0


class TokenBucket:
    """Token bucket in which the cost of a request may be corrected later.

    A request is within the rate while the level is positive, whatever it costs, so that a cost may
    exceed the burst; the negative level then delays later requests. The long-term rate is exact.

    Parameters
    ----------
    rate : float
        Refill rate per second.
    burst_s : float, optional
        Capacity of the bucket, in seconds of the rate.
    min_burst : float, optional
        Minimum capacity of the bucket at any positive rate.
    """

    def __init__(self, rate, burst_s=BURST_S, min_burst=MIN_BURST):
        self._min_burst = min_burst
        self._burst_s = burst_s
        self._rate = rate
        self._level = self._capacity()
        self._refilled_at = -math.inf

    @property
    def rate(self):
        """Refill rate per second."""
        return self._rate

    @property
    def level(self):
        """Level as of the last call; negative after a cost above the level."""
        return self._level

    def set_rate(self, rate, now):
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def is_within_rate(self, now):
        """Return whether a request at this time is within the rate."""
        self._refill(now)
        # A level that is positive only because of rounding errors must not let a request pass.
        return self._level > 1e-9

    def consume(self, amount, now):
        """Subtract an amount from the level; a negative amount is a refund."""
        self._refill(now)
        self._level = min(self._level - amount, self._capacity())

    def _refill(self, now):
        if self._refilled_at != -math.inf:
            elapsed_s = max(0.0, now - self._refilled_at)
            self._level = min(self._level + elapsed_s * self._rate, self._capacity())
        self._refilled_at = max(self._refilled_at, now)

    def _capacity(self):
        return max(self._rate * self._burst_s, self._min_burst) if self._rate > 0 else 0.0
