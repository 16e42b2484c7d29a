"""Selects the node that a request is handed over to."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Helper:
    """A node that takes requests of others.

    Parameters
    ----------
    node_id : str
        Id of the node.
    address : str
        ``host:port`` at which it takes callers' requests.
    requests : int
        Its requests in flight, by its last report.
    report_age_s : float
        Age of that report, in seconds.
    """

    node_id: str
    address: str
    requests: int
    report_age_s: float


def choose(helpers, excluded, in_flight, random_state):
    """Return the less loaded one of two random helpers, or None.

    Two choices spread the requests of several nodes, which all see the same reports.

    Parameters
    ----------
    helpers : list of Helper
        Nodes that take requests.
    excluded : container of str
        Ids of nodes that were tried before.
    in_flight : dict of str to int
        Requests that this node has handed over and that have not ended, by node id.
    random_state : random.Random
        Source of the choice.
    """
    candidates = [helper for helper in helpers if helper.node_id not in excluded]
    if not candidates:
        return None
    sample = random_state.sample(candidates, min(2, len(candidates)))
    return min(sample, key=lambda helper: helper.requests + in_flight.get(helper.node_id, 0))
