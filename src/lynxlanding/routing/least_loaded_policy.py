"""Least loaded endpoint."""


class LeastLoadedPolicy:
    """Scans all endpoints for the lowest score; a baseline.

    A decision costs time proportional to the endpoints, and nodes whose reports lag choose the
    same endpoint at the same time.
    """

    def choose(self, pool, request, now, random_state):
        """Return an endpoint with the lowest score, or None."""
        best = []
        best_score = None
        for state in pool.candidates:
            if state.address in request.excluded:
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
