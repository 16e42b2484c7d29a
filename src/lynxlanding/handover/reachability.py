"""Whether this node reaches the endpoints at all."""

import dataclasses

# Failures count together for this long.
FAILURE_LIFETIME_S = 2.0
# Different endpoints that refuse connections or stay silent before all are checked. One alone may
# have ended, or be silent for a moment.
FAILURES_TO_CHECK = 2
# Endpoints checked at the same time. It is unlikely that so many random ones are down while others
# are not.
CHECKED_ENDPOINTS = 6
# Interval between checks while no endpoint is reached.
CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ReachabilityChange:
    """Begin or end of the time in which this node reaches no endpoint.

    Parameters
    ----------
    is_cut : bool
        Whether it has begun.
    reached, checked : int
        Endpoints that accepted a connection, and that were checked.
    duration_s : float
        How long the previous state has lasted, in seconds.
    """

    is_cut: bool
    reached: int
    checked: int
    duration_s: float


class Reachability:
    """Decides when to check the endpoints, and what follows from it; performs no I/O.

    Request threads call it directly: each call is one step that cannot be interrupted.

    Connections that were opened earlier may live on while new ones fail, so only new connections
    show that endpoints are reached.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, now):
        self._failed_at = {}
        self._is_cut = False
        self._changed_at = now
        self._checked_at = float("-inf")

    @property
    def is_cut(self):
        """Whether this node reaches no endpoint."""
        return self._is_cut

    def record_connected(self):
        """Record that a new connection to an endpoint was established."""
        self._failed_at.clear()

    def record_failure(self, endpoint_id, now):
        """Record that an endpoint could not be connected to, or stayed silent."""
        self._failed_at[endpoint_id] = now

    def should_check(self, now):
        """Return whether to check the endpoints now, and count the check."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        for endpoint_id, failed_at in list(self._failed_at.items()):
            if now - failed_at > FAILURE_LIFETIME_S:
                del self._failed_at[endpoint_id]
        if not self._is_cut and len(self._failed_at) < FAILURES_TO_CHECK:
            return False
        self._checked_at = now
        return True

    def record_check(self, reached, checked, now):
        """Record the result of a check; return a ``ReachabilityChange`` or None."""
        is_cut = reached == 0 and checked > 0
        self._failed_at.clear()
        if is_cut == self._is_cut:
            return None
        change = ReachabilityChange(is_cut, reached, checked, now - self._changed_at)
        self._is_cut = is_cut
        self._changed_at = now
        return change
