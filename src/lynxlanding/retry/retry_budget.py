"""Token bucket that bounds retries to a share of the requests."""

# The first attempts of 1,000 requests earn 90 retries; together with the full bucket at the start
# that is exactly 10% of them. Earning 0.1 would exceed 10% by the bucket's content for ever.
EARNED_PER_REQUEST = 0.09
BURST = 10.0


class RetryBudget:
    """Retries that a node may still make.

    Parameters
    ----------
    earned_per_request : float
        Retries that each first attempt earns.
    burst : float
        Size of the bucket, which is full at the start so that a failure among the first requests
        can be retried.
    """

    def __init__(self, earned_per_request=EARNED_PER_REQUEST, burst=BURST):
        self._earned_per_request = earned_per_request
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Retries that are available now."""
        return self._tokens

    def earn(self):
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._earned_per_request)

    def take(self):
        """Take one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
