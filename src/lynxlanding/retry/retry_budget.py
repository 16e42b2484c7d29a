"""Token bucket that limits retries to a fraction of the requests."""

# 1,000 requests earn 90 retries; together with the initially full bucket that is exactly 10% of
# them. With 0.1, retries would always exceed 10% by the initial content of the bucket.
RETRIES_PER_REQUEST = 0.09
BURST = 10.0
# Losing a fabric domain breaks up to a quarter of a node's roughly 365 streams at once. Earned
# retries that overflow the bucket are saved for this case. Since every one of them was earned,
# retries stay below 10% of the requests.
RESERVE = 100.0


class RetryBudget:
    """Retries that a node may still make.

    Parameters
    ----------
    retries_per_request : float
        Retries that the first attempt of each request earns.
    burst : float
        Capacity of the bucket, which is initially full so that failures among the first requests
        can be retried.
    reserve : float
        Capacity of the reserve, which is initially empty.
    """

    def __init__(self, retries_per_request=RETRIES_PER_REQUEST, burst=BURST, reserve=RESERVE):
        self._retries_per_request = retries_per_request
        self._burst = burst
        self._tokens = burst
        self._max_reserve = reserve
        self._reserve = 0.0

    def record_request(self):
        """Count the first attempt of a request."""
        tokens = self._tokens + self._retries_per_request
        self._tokens = min(self._burst, tokens)
        self._reserve = min(self._max_reserve, self._reserve + tokens - self._tokens)

    def try_acquire(self, may_use_reserve):
        """Consume one retry if available; return whether it was."""
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if may_use_reserve and self._reserve >= 1.0:
            self._reserve -= 1.0
            return True
        return False
