"""Decides how a node winds down after it was asked to stop."""

# The balancer takes a node out after two missed checks a second apart.
UNREADY_S = 2.5
# Requests that arrive later than this are refused with the advice to go elsewhere at once: a
# stream takes longer than what is left of the grace time, and only those that arrive within 3 s
# of the signal may be cut at its end.
ACCEPT_S = 2.7
# The process ends this long before it would be killed.
END_MARGIN_S = 0.5


class StopPlan:
    """Phases of a planned stop, without I/O.

    Parameters
    ----------
    started_at : float
        When the signal arrived, monotonic seconds.
    grace_s : float
        Time until the process is killed.
    """

    def __init__(self, started_at, grace_s):
        self._started_at = started_at
        self._end_at = started_at + grace_s - END_MARGIN_S

    def accepts_requests(self, now):
        """Return whether new requests are served."""
        return now - self._started_at < ACCEPT_S

    def is_over(self, now, busy):
        """Return whether the process ends.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        busy : int
            Requests in progress and responses that are not sent yet.
        """
        if now >= self._end_at:
            return True
        return not busy and now - self._started_at >= UNREADY_S
