"""Selection of the least loaded endpoint."""


class LeastLoadedPolicy:
    """Selects an endpoint with the lowest score of all; a baseline for comparisons.

    A decision takes linear time in the number of endpoints, and nodes with the same lagging
    reports select the same endpoint at the same time.
    """

    def choose(self, pool, request, now, random_state):
        """Return an endpoint with the lowest score, or None if all are excluded."""
        best = []
        best_score = None
        for state in pool.candidates:
            if state.address in request.excluded_addresses:
                continue
            score = state.score(pool.node_count, now)
            if best_score is None or score < best_score:
                best = [state]
                best_score = score
            elif score == best_score:
                best.append(state)
        if not best:
            return None
        return best[int(random_state.random() * len(best))]
