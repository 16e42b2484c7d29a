"""Decides when a leaving endpoint may be released."""

from lynxlanding.drain import release_decision


class ReleaseTracker:
    """Requests in flight on one leaving endpoint, as reported by the nodes.

    The endpoint is released when every node has said that it knows of the drain and has no
    request in flight there, or when the longest deadline has passed. A node that is silent may
    still be serving its callers, so silence never counts as zero.

    Parameters
    ----------
    started_at : float
        Monotonic time of the first leaving signal.
    nodes : iterable of str
        Nodes that may have sent requests.
    rules : ReleaseRules
        Bounds.
    """

    def __init__(self, started_at, nodes, rules):
        self._started_at = started_at
        self._rules = rules
        # A node may have sent until ``notice_s`` after the start, with the longest deadline.
        self._latest_deadline = started_at + rules.notice_s + rules.max_timeout_s
        self._in_flight = dict.fromkeys(nodes)
        self._deadlines = {}

    def note_report(self, node, in_flight, deadline):
        """Record a report of a node that knows that the endpoint is leaving.

        Parameters
        ----------
        node : str
            Reporting node.
        in_flight : int
            Its requests in flight on the endpoint.
        deadline : float
            Latest deadline of these requests, on this node's monotonic clock.
        """
        self._in_flight[node] = in_flight
        self._deadlines[node] = min(deadline, self._latest_deadline)

    def decide(self, now):
        """Return the decision at monotonic time ``now``."""
        in_flight = 0
        silent = 0
        release_at = self._started_at
        for node, count in self._in_flight.items():
            if count is None:
                silent += 1
                release_at = self._latest_deadline
                continue
            if count > 0:
                in_flight += count
                release_at = max(release_at, self._deadlines[node])
        is_released = (in_flight == 0 and silent == 0) or now >= release_at
        return release_decision.ReleaseDecision(is_released, in_flight, silent, release_at)
