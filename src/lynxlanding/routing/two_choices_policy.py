"""Power of two choices."""

from lynxlanding.routing import _sampling


class TwoChoicesPolicy:
    """Takes the better of two random endpoints (Mitzenmacher, 2001).

    With reports that lag, the random draws keep nodes from all choosing the same endpoint.
    """

    def choose(self, pool, request, now, random_state):
        """Return the endpoint with the lower score of two random ones, or None."""
        candidates = pool.candidates
        first = _sampling.draw_candidate(candidates, request.excluded, random_state)
        if first is None:
            return None
        second = _sampling.draw_candidate(candidates, request.excluded, random_state)
        count = pool.node_count
        return first if first.score(count, now) <= second.score(count, now) else second
