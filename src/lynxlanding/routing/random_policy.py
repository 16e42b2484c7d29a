"""Random selection."""

from lynxlanding.routing import _sampling


class RandomPolicy:
    """Selects each endpoint with the same probability; a baseline for comparisons."""

    def choose(self, pool, request, now, random_state):
        """Return a random endpoint that is not excluded, or None if there is none."""
        return _sampling.draw_candidate(pool.candidates, request.excluded_addresses, random_state)
