"""Token bucket."""

import math

BURST_S = 5.0

# With a slice of a few requests a minute, which 410 nodes give a small workspace, random arrivals
# at the owed rate find a bucket of one request empty half of the time.
MIN_BURST = 10.0


class TokenBucket:
    """Limits a rate; the cost of an entry may be corrected later.

    An entry is within the rate while the level is above zero, whatever it costs, so that costs
    above the burst are possible; the debt delays the next one. The long-term rate is exact.

    Parameters
    ----------
    rate : float
        Amount for each second.
    burst_s : float, optional
        Seconds of the rate that may be taken at once.
    min_burst : float, optional
        Amount that may be taken at once at any rate.
    """

    def __init__(self, rate, burst_s=BURST_S, min_burst=MIN_BURST):
        self._min_burst = min_burst
        self._burst_s = burst_s
        self._rate = rate
        self._level = self._capacity()
        self._refilled_at = -math.inf

    @property
    def rate(self):
        """Amount for each second."""
        return self._rate

    @property
    def level(self):
        """Amount left at the last call; negative after a cost above it."""
        return self._level

    def set_rate(self, rate, now):
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def has_room(self, now):
        """Return whether an entry is within the rate now."""
        self._refill(now)
        # Rounding must not give an entry that no rate allows.
        return self._level > 1e-9

    def take(self, amount, now):
        """Take an amount; a negative one gives back."""
        self._refill(now)
        self._level = min(self._level - amount, self._capacity())

    def _refill(self, now):
        if self._refilled_at != -math.inf:
            elapsed = max(0.0, now - self._refilled_at)
            self._level = min(self._level + elapsed * self._rate, self._capacity())
        self._refilled_at = max(self._refilled_at, now)

    def _capacity(self):
        return max(self._rate * self._burst_s, self._min_burst) if self._rate > 0 else 0.0
