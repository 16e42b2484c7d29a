"""Counts requests at endpoints that have rejected one for a time, as the users' rule does."""

import dataclasses

# A node's requests count from this long after the endpoint has rejected one of its requests.
TOLD_S = 0.5
# Requests that may still reach the endpoint between that and the end of the time it has stated.
ALLOWED = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that has reached an endpoint.

    Parameters
    ----------
    at : float
        Monotonic seconds.
    node : str
        Node that sent it.
    endpoint_id : str
        Endpoint that it has reached.
    retry_after_s : float or None
        Time for which the endpoint has said that it wants nothing from the node; None if it ran
        the request.
    """

    at: float
    node: str
    endpoint_id: str
    retry_after_s: float | None = None


def worst_count(arrivals):
    """Return the highest number of requests that reach an endpoint in a time it has stated."""
    worst = 0
    for rejection in arrivals:
        if rejection.retry_after_s is None:
            continue
        since = rejection.at + TOLD_S
        until = rejection.at + rejection.retry_after_s
        count = 0
        for arrival in arrivals:
            is_same = (arrival.node, arrival.endpoint_id) == (rejection.node, rejection.endpoint_id)
            count += is_same and since < arrival.at < until
        worst = max(worst, count)
    return worst
