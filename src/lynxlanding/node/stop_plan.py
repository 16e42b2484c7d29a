"""Phases of a graceful shutdown."""

# Later requests are refused, and their callers advised to retry on another node at once. The load
# balancer has removed the node by then, after two failed readiness checks, one second apart. A
# stream takes longer than the rest of the grace period, and only requests that arrive within 3 s of
# the signal may be cut off when the period ends.
ACCEPT_WINDOW_S = 2.7
# Share of the grace period, if that is short; the rest is for the answers.
MAX_ACCEPT_SHARE = 1 / 3
# The process exits no sooner than this after it has begun to refuse requests. A request that was
# accepted just before shows up as unfinished by then.
REFUSAL_S = 0.1
# The process exits this long before it would be killed.
EXIT_MARGIN_S = 0.5
# Requests that are unfinished this long before the exit get an error, which takes some turns of the
# threads to send.
ANSWER_MARGIN_S = 0.2


class StopPlan:
    """Decides what a node does in each phase of a graceful shutdown; performs no I/O.

    Parameters
    ----------
    started_at : float
        Time of the stop signal, monotonic seconds.
    grace_s : float
        Time from the signal until the process is killed.
    """

    def __init__(self, started_at, grace_s):
        self._started_at = started_at
        self._exit_at = started_at + grace_s - EXIT_MARGIN_S
        self._accept_s = min(ACCEPT_WINDOW_S, grace_s * MAX_ACCEPT_SHARE)

    @property
    def answer_by(self):
        """Until when requests may wait for their answers, monotonic seconds."""
        return self._exit_at - ANSWER_MARGIN_S

    def accepts_requests(self, now):
        """Return whether new requests are still served."""
        return now - self._started_at < self._accept_s

    def should_exit(self, now, unfinished):
        """Return whether the process should exit.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        unfinished : int
            Requests in progress and responses that are not fully sent.
        """
        if now >= self._exit_at:
            return True
        return not unfinished and now - self._started_at >= self._accept_s + REFUSAL_S
