"""Planned stop of a node."""

SERVING = "serving"
# Unready, but requests are still accepted until the balancer has noticed.
UNREADY = "unready"
# New requests are refused; the requests in flight run to completion.
DRAINING = "draining"
STOPPED = "stopped"


class NodeStop:
    """State machine of a planned stop.

    Parameters
    ----------
    unready_s : float
        Time between becoming unready and refusing requests.
    limit_s : float
        Longest wait for requests in flight, which is at least the longest deadline.
    """

    def __init__(self, unready_s, limit_s):
        self._unready_s = unready_s
        self._limit_s = limit_s
        self._state = SERVING
        self._entered_at = 0.0
        self._cut_off = 0

    @property
    def state(self):
        """One of the constants of this module."""
        return self._state

    @property
    def is_ready(self):
        """Whether the balancer may send requests."""
        return self._state == SERVING

    @property
    def accepts_requests(self):
        """Whether a request that arrives is accepted."""
        return self._state in (SERVING, UNREADY)

    @property
    def cut_off(self):
        """Requests that were in flight when the limit passed."""
        return self._cut_off

    def request_stop(self, now):
        """Begin the stop; a repeated call changes nothing."""
        if self._state == SERVING:
            self._state = UNREADY
            self._entered_at = now

    def advance(self, now, in_flight):
        """Return the state at monotonic time ``now`` with ``in_flight`` requests.

        Once the state is ``draining``, the caller refuses new requests before it counts again.
        """
        if self._state == UNREADY and now - self._entered_at >= self._unready_s:
            # ``in_flight`` was counted while requests were still accepted, so it says nothing yet.
            self._state = DRAINING
            self._entered_at = now
        elif self._state == DRAINING:
            if in_flight == 0:
                self._state = STOPPED
            elif now - self._entered_at >= self._limit_s:
                self._cut_off = in_flight
                self._state = STOPPED
        return self._state
