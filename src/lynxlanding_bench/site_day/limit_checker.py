"""Counts requests at endpoints that state a limit, as the users' rule does."""

import dataclasses

WINDOW_S = 4.0
# The sum may exceed the stated rate by this factor, and by this number of requests.
FACTOR = 1.5
BURST = 5
# An endpoint's limit counts from this long after it was first stated.
STABLE_S = 3.0
# A node's requests count from this long after it has passed on a response that states the limit.
TOLD_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that has reached an endpoint, at ``at`` in monotonic seconds."""

    at: float
    node: str
    endpoint_id: str


def allowed_requests(limit_per_s):
    """Return how many requests an endpoint may get in ``WINDOW_S``."""
    return FACTOR * limit_per_s * WINDOW_S + BURST


def worst_window(arrivals, endpoint_id, told_at, stated_at, until):
    """Return the highest number of requests that count in any window.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests at all endpoints.
    endpoint_id : str
        Endpoint with the limit.
    told_at : dict of str to float
        When each node first passed on a response that states the limit.
    stated_at, until : float
        When the endpoint first stated the limit, and the end of the observation.
    """
    times = []
    for arrival in arrivals:
        if arrival.endpoint_id != endpoint_id or arrival.node not in told_at:
            continue
        if told_at[arrival.node] + TOLD_S <= arrival.at <= until:
            times.append(arrival.at)
    times.sort()
    worst = 0
    start = 0
    for index, at in enumerate(times):
        while times[start] <= at - WINDOW_S:
            start += 1
        if at >= stated_at + STABLE_S:
            worst = max(worst, index - start + 1)
    return worst
