"""Limits the claim writes of a node to its share of the store's write rate."""

# One create, one update and one delete for each claimed request.
WRITES_PER_CLAIM = 3
# Requests come in bursts, and the store's limit is an average over the fleet. A node may therefore
# use ten seconds of its share at once.
BURST_S = 10.0
# Otherwise a node with a small share could never collect enough tokens for one claim.
MIN_BURST_WRITES = 10 * WRITES_PER_CLAIM


class WriteRateLimiter:
    """Token bucket for store writes.

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
        """Set the number of nodes that share the rate."""
        self._fill(now)
        self._nodes = max(1, nodes)
        self._tokens = min(self._tokens, self._burst())

    def reserve_claim(self, now):
        """Reserve the writes of one claim.

        Returns
        -------
        float or None
            None if the writes are reserved, else the seconds until they can be.
        """
        self._fill(now)
        deficit = WRITES_PER_CLAIM - self._tokens
        if deficit > 0:
            return deficit / self.writes_per_s
        self._tokens -= WRITES_PER_CLAIM
        return None

    def _burst(self):
        return max(MIN_BURST_WRITES, BURST_S * self.writes_per_s)

    def _fill(self, now):
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst(), self._tokens + elapsed_s * self.writes_per_s)
