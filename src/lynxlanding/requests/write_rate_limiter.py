"""Limits the store writes of one node to its share of the store's write rate."""

# One create, one update and one delete for each keyed request.
WRITES_PER_CLAIM = 3
# Callers come in bursts, and the store's rate is an average over the fleet: a node may spend ten
# seconds of its share at once.
BURST_S = 10.0
# A share below one claim would otherwise refuse every keyed request of a small node.
MIN_BURST_WRITES = 10 * WRITES_PER_CLAIM


class WriteLimit:
    """Token bucket over store writes.

    Parameters
    ----------
    fleet_writes_per_s : float
        Writes per second that all nodes together may spend on claims.
    now : float
        Monotonic time, in seconds.
    """

    def __init__(self, fleet_writes_per_s, now):
        self._fleet_writes_per_s = fleet_writes_per_s
        self._nodes = 1
        self._tokens = self._burst()
        self._filled_at = now

    @property
    def writes_per_s(self):
        """Share of this node, in writes per second."""
        return self._fleet_writes_per_s / self._nodes

    def set_nodes(self, nodes, now):
        """Share the rate among ``nodes`` live nodes."""
        self._fill(now)
        self._nodes = max(1, nodes)
        self._tokens = min(self._tokens, self._burst())

    def take_claim(self, now):
        """Reserve the writes of one claim.

        Returns
        -------
        float or None
            None if they are reserved; otherwise the seconds until they could be.
        """
        self._fill(now)
        missing = WRITES_PER_CLAIM - self._tokens
        if missing > 0:
            return missing / self.writes_per_s
        self._tokens -= WRITES_PER_CLAIM
        return None

    def _burst(self):
        return max(MIN_BURST_WRITES, BURST_S * self.writes_per_s)

    def _fill(self, now):
        passed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst(), self._tokens + passed * self.writes_per_s)
