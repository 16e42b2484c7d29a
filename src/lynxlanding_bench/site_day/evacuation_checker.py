"""Finds requests at endpoints of evacuated data centres, as the users' rule does."""

import dataclasses

# Bound of the nodes' settings: time from the evacuation in the store until requests have stopped.
BOUND_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that has reached an endpoint.

    Parameters
    ----------
    at : float
        When, monotonic seconds.
    node : str
        Node that sent it.
    endpoint_id : str
        Endpoint.
    """

    at: float
    node: str
    endpoint_id: str


def late_arrivals(arrivals, endpoint_ids, begun_at, ended_at, cuts=()):
    """Return the requests that nodes in contact with the store sent to evacuated endpoints.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests of the day.
    endpoint_ids : collection of str
        Endpoints of the data centre.
    begun_at, ended_at : float
        When the store had the evacuation, monotonic seconds.
    cuts : sequence of tuple
        Node, beginning and end of times in which the store did not answer a node; None stands for
        all nodes. The bound counts anew from the end.
    """
    late = []
    for arrival in arrivals:
        if arrival.endpoint_id not in endpoint_ids:
            continue
        if not begun_at + BOUND_S < arrival.at < ended_at:
            continue
        if not any(_covers(cut, arrival) for cut in cuts):
            late.append(arrival)
    return late


def _covers(cut, arrival):
    node, begun_at, ended_at = cut
    return node in (None, arrival.node) and begun_at <= arrival.at <= ended_at + BOUND_S
