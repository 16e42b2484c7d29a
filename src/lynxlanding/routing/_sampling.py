"""Random selection of endpoints that are not excluded."""

# Limits rejection sampling. A request excludes few endpoints, so if there are more candidates than
# draws, one of the draws almost always returns an endpoint that is not excluded.
MAX_DRAWS = 8


def draw_candidate(candidates, excluded_addresses, random_state):
    """Return a random candidate that is not excluded, or None if there is none.

    Parameters
    ----------
    candidates : SampleSet
        Endpoints to choose from.
    excluded_addresses : frozenset of str
        Addresses of endpoints that are not returned.
    random_state : numpy.random.Generator
        Source of randomness.
    """
    if len(candidates) == 0:
        return None
    if len(candidates) > MAX_DRAWS or not excluded_addresses:
        for _ in range(MAX_DRAWS):
            state = candidates.draw(random_state)
            if state.address not in excluded_addresses:
                return state
    remaining = [state for state in candidates if state.address not in excluded_addresses]
    if not remaining:
        return None
    return remaining[int(random_state.random() * len(remaining))]
