"""Share of one node in the fleet's limit on repeated requests."""

import collections

# Part of the share that the node uses; the rest covers requests that cross the end of a window.
USED_PART = 0.85


class RetryAllowance:
    """Counts the requests and repeats for one service in a sliding window.

    The limit is ``ratio`` times the requests plus ``slack`` in any window, over all nodes. Each
    node keeps to its own requests and an equal part of the slack, so the sum keeps to the limit
    although nodes do not see each other's counts.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Further repeats of all nodes together.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = collections.deque()
        self._repeats = collections.deque()

    def note_request(self, now):
        """Count a request from a caller."""
        self._requests.append(now)

    def available(self, now, nodes):
        """Return the repeats that the node may still send.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        nodes : int
            Nodes that share the slack.
        """
        self._drop_old(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, nodes)
        return allowed * USED_PART - len(self._repeats)

    def take(self, now, nodes):
        """Take one repeat; return whether there was one."""
        if self.available(now, nodes) < 1:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now):
        oldest = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest:
                times.popleft()
