"""Token bucket that bounds retries to a share of the requests."""

# The first attempts of 1,000 requests earn 90 retries; together with the full bucket at the start
# that is exactly 10% of them. Earning 0.1 would exceed 10% by the bucket's content for ever.
EARNED_PER_REQUEST = 0.09
BURST = 10.0
# A lost fabric domain breaks up to a quarter of some 365 streams of a node at once. What the full
# bucket cannot hold is kept for that; since it was earned, the share stays below 10%.
RESERVE = 100.0


class RetryBudget:
    """Retries that a node may still make.

    Parameters
    ----------
    earned_per_request : float
        Retries that each first attempt earns.
    burst : float
        Size of the bucket, which is full at the start so that a failure among the first requests
        can be retried.
    reserve : float
        Size of the reserve, which is empty at the start.
    """

    def __init__(self, earned_per_request=EARNED_PER_REQUEST, burst=BURST, reserve=RESERVE):
        self._earned_per_request = earned_per_request
        self._burst = burst
        self._tokens = burst
        self._reserve_limit = reserve
        self._reserve = 0.0

    def earn(self):
        """Count a first attempt."""
        tokens = self._tokens + self._earned_per_request
        self._tokens = min(self._burst, tokens)
        self._reserve = min(self._reserve_limit, self._reserve + tokens - self._tokens)

    def take(self, may_use_reserve):
        """Take one retry; return whether there was one."""
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if may_use_reserve and self._reserve >= 1.0:
            self._reserve -= 1.0
            return True
        return False
