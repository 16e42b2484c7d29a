"""Decides from the nodes' reports when a leaving endpoint may be released."""

from lynxlanding.drain import release_decision


class ReleaseTracker:
    """Tracks the requests in flight on one leaving endpoint, as reported by the nodes.

    The endpoint is released when every node has reported that it knows of the drain and has no
    request in flight there, or when the longest deadline has passed. A node that does not report
    may still be serving its callers, so it never counts as having no requests.

    Parameters
    ----------
    started_at : float
        Monotonic time of the first leaving signal.
    nodes : iterable of str
        Names of the nodes that may have sent requests.
    rules : ReleaseRules
        Time limits.
    """

    def __init__(self, started_at, nodes, rules):
        self._started_at = started_at
        self._rules = rules
        # A node may send a request with the longest deadline until ``propagation_s`` has passed.
        self._latest_deadline = started_at + rules.propagation_s + rules.max_timeout_s
        self._in_flight = dict.fromkeys(nodes)
        self._deadlines = {}

    def record_report(self, node, in_flight, deadline):
        """Record the report of a node that knows that the endpoint is leaving.

        Parameters
        ----------
        node : str
            Name of the reporting node.
        in_flight : int
            Number of its requests in flight on the endpoint.
        deadline : float
            Latest deadline of these requests, on the tracker's monotonic clock.
        """
        self._in_flight[node] = in_flight
        self._deadlines[node] = min(deadline, self._latest_deadline)

    def decide(self, now):
        """Return the decision at monotonic time ``now``."""
        in_flight = 0
        silent_nodes = 0
        release_at = self._started_at
        for node, count in self._in_flight.items():
            if count is None:
                silent_nodes += 1
                release_at = self._latest_deadline
                continue
            if count > 0:
                in_flight += count
                release_at = max(release_at, self._deadlines[node])
        is_released = (in_flight == 0 and silent_nodes == 0) or now >= release_at
        return release_decision.ReleaseDecision(is_released, in_flight, silent_nodes, release_at)
