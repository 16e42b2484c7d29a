"""Selection by the power of two choices."""

from lynxlanding.routing import _sampling


class TwoChoicesPolicy:
    """Selects the better of two random endpoints (Mitzenmacher, 2001).

    The randomness keeps nodes with the same lagging reports from all selecting the same endpoint.
    """

    def choose(self, pool, request, now, random_state):
        """Return the better of two random endpoints, or None if all are excluded."""
        candidates = pool.candidates
        first = _sampling.draw_candidate(candidates, request.excluded_addresses, random_state)
        if first is None:
            return None
        second = _sampling.draw_candidate(candidates, request.excluded_addresses, random_state)
        count = pool.node_count
        return first if first.score(count, now) <= second.score(count, now) else second
