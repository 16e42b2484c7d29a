"""Tracks which endpoints have stopped making progress."""

# A stall is reported to peers and to the planner for this long.
STALL_LIFETIME_S = 1.5


class StallTracker:
    """Stalls observed by this node and its peers; performs no I/O.

    Request threads read and write it directly: each call is one step that cannot be interrupted.
    """

    def __init__(self):
        self._own = {}
        self._peers = {}
        self._last_event_at = {}

    def record_event(self, endpoint_id, now):
        """Record that the endpoint has sent data."""
        self._last_event_at[endpoint_id] = now

    def last_event_at(self, endpoint_id):
        """Return when the endpoint last sent data to this node, monotonic seconds; 0 if never."""
        return self._last_event_at.get(endpoint_id, 0.0)

    def record_stall(self, endpoint_id, now):
        """Record a stall that this node has observed."""
        self._own[endpoint_id] = now

    def record_peer_stall(self, endpoint_id, now):
        """Record a stall that a peer has observed."""
        self._peers[endpoint_id] = now

    def is_stalled(self, endpoint_id, stall_timeout_s, now):
        """Return whether a recent stall is known and the endpoint sends nothing to this node.

        Parameters
        ----------
        endpoint_id : str
            Endpoint to check.
        stall_timeout_s : float
            Time between two events that a working endpoint does not exceed, in seconds.
        now : float
            Monotonic time in seconds.
        """
        stalled_at = max(self._own.get(endpoint_id, 0.0), self._peers.get(endpoint_id, 0.0))
        if not stalled_at or now - stalled_at > STALL_LIFETIME_S:
            return False
        return now - self._last_event_at.get(endpoint_id, 0.0) > stall_timeout_s

    def own_stalled(self, now):
        """Return the endpoints whose recent stalls this node has observed."""
        return _recent(self._own, now)

    def all_stalled(self, now):
        """Return the endpoints whose recent stalls this node or a peer has observed."""
        return _recent(self._own, now) | _recent(self._peers, now)

    def forget(self, endpoint_id):
        """Discard the state of an endpoint that restarted or was removed."""
        for times in (self._own, self._peers, self._last_event_at):
            times.pop(endpoint_id, None)


def _recent(times, now):
    for endpoint_id, stalled_at in list(times.items()):
        if now - stalled_at > STALL_LIFETIME_S:
            del times[endpoint_id]
    return frozenset(times)
