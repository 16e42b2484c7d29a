"""Graceful shutdown of a node."""

SERVING = "serving"
# Not ready, but requests are accepted until the load balancer stops sending them.
UNREADY = "unready"
# New requests are refused; requests in flight run to completion.
DRAINING = "draining"
STOPPED = "stopped"


class NodeStop:
    """State machine of a graceful shutdown.

    Parameters
    ----------
    unready_s : float
        Time from becoming unready until requests are refused.
    limit_s : float
        Maximum wait for requests in flight; must be at least the longest deadline.
    """

    def __init__(self, unready_s, limit_s):
        self._unready_s = unready_s
        self._limit_s = limit_s
        self._state = SERVING
        self._entered_at = 0.0
        self._aborted_requests = 0

    @property
    def state(self):
        """One of the constants of this module."""
        return self._state

    @property
    def is_ready(self):
        """Whether the load balancer may send requests."""
        return self._state == SERVING

    @property
    def accepts_requests(self):
        """Whether new requests are accepted."""
        return self._state in (SERVING, UNREADY)

    @property
    def aborted_requests(self):
        """Number of requests that were in flight when the limit passed."""
        return self._aborted_requests

    def request_stop(self, now):
        """Begin the shutdown; repeated calls have no effect."""
        if self._state == SERVING:
            self._state = UNREADY
            self._entered_at = now

    def advance(self, now, in_flight):
        """Update and return the state at monotonic time ``now`` with ``in_flight`` requests.

        Once the state is ``draining``, the caller must refuse new requests before it counts the
        requests in flight again.
        """
        if self._state == UNREADY and now - self._entered_at >= self._unready_s:
            # ``in_flight`` was counted while requests were still accepted, so it may be outdated
            # and is ignored even if it is 0.
            self._state = DRAINING
            self._entered_at = now
        elif self._state == DRAINING:
            if in_flight == 0:
                self._state = STOPPED
            elif now - self._entered_at >= self._limit_s:
                self._aborted_requests = in_flight
                self._state = STOPPED
        return self._state
