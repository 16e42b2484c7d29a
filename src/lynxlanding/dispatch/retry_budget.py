"""Per-node part of the fleet-wide limit on retries."""

import collections

# Fraction of the node's part that is used. The rest covers requests that extend beyond the end of
# a window.
USED_FRACTION = 0.85


class RetryBudget:
    """Limits retries for one service by the requests in a sliding window.

    In any window, all nodes together may send ``ratio`` retries per request plus ``slack``. Each
    node counts its own requests and takes an equal part of the slack, so the sum stays within the
    limit although nodes do not know each other's counts.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed to all nodes together.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.deque()
        self._retries = collections.deque()

    def record_request(self, now):
        """Count a request from a caller."""
        self._requests.append(now)

    def available(self, now, nodes):
        """Return the number of retries that the node may still send.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        nodes : int
            Number of nodes that share the slack.
        """
        self._drop_old(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, nodes)
        return allowed * USED_FRACTION - len(self._retries)

    def try_acquire(self, now, nodes):
        """Consume one retry if available; return whether it was."""
        if self.available(now, nodes) < 1:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now):
        oldest = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= oldest:
                times.popleft()
