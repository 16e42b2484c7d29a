"""Random choice."""

from lynxlanding.routing import _sampling


class RandomPolicy:
    """Chooses each endpoint with the same probability; the simplest baseline."""

    def choose(self, pool, request, now, random_state):
        """Return a random endpoint that is not excluded, or None."""
        return _sampling.draw_candidate(pool.candidates, request.excluded, random_state)
