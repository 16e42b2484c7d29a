"""Random draws that respect the excluded endpoints."""

# A request excludes at most a few endpoints, so among more than eight candidates one of these
# draws practically always hits another one.
MAX_DRAWS = 8


def draw_candidate(candidates, excluded, random_state):
    """Return a random candidate that is not excluded, or None.

    Parameters
    ----------
    candidates : SampleSet
        Endpoints to choose from.
    excluded : frozenset of str
        Addresses not to return.
    random_state : numpy.random.Generator
        Source of randomness.
    """
    if len(candidates) == 0:
        return None
    if len(candidates) > MAX_DRAWS or not excluded:
        for _ in range(MAX_DRAWS):
            state = candidates.draw(random_state)
            if state.address not in excluded:
                return state
    remaining = [state for state in candidates if state.address not in excluded]
    if not remaining:
        return None
    return remaining[int(random_state.random() * len(remaining))]
