"""Which endpoints have stopped making progress."""

# A stall is passed on to peers and to the planner for this long.
STALL_MEMORY_S = 1.5


class StallBoard:
    """Stalls seen by this node and its peers, without I/O.

    Request threads read and write it directly: each call is one step that nothing interrupts.
    """

    def __init__(self):
        self._own = {}
        self._peers = {}
        self._last_event_at = {}

    def note_event(self, endpoint_id, now):
        """Record that the endpoint has sent something."""
        self._last_event_at[endpoint_id] = now

    def note_stall(self, endpoint_id, now):
        """Record a stall that this node has seen."""
        self._own[endpoint_id] = now

    def note_peer_stall(self, endpoint_id, now):
        """Record a stall that a peer has seen."""
        self._peers[endpoint_id] = now

    def is_stalled(self, endpoint_id, silence_s, now):
        """Return whether a stall was seen and the endpoint is silent altogether.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        silence_s : float
            Pause, in seconds, that a working endpoint does not exceed.
        now : float
            Monotonic seconds.
        """
        at = max(self._own.get(endpoint_id, 0.0), self._peers.get(endpoint_id, 0.0))
        if not at or now - at > STALL_MEMORY_S:
            return False
        return now - self._last_event_at.get(endpoint_id, 0.0) > silence_s

    def own(self, now):
        """Return the endpoints that this node saw stalling a moment ago."""
        return _recent(self._own, now)

    def all(self, now):
        """Return the endpoints that any node saw stalling a moment ago."""
        return _recent(self._own, now) | _recent(self._peers, now)

    def forget(self, endpoint_id):
        """Forget an endpoint that is gone."""
        for times in (self._own, self._peers, self._last_event_at):
            times.pop(endpoint_id, None)


def _recent(times, now):
    for endpoint_id, at in list(times.items()):
        if now - at > STALL_MEMORY_S:
            del times[endpoint_id]
    return frozenset(times)
