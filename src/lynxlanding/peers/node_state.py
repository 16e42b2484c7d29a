"""What a node reports about itself."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeState:
    """State of this node for one report.

    Parameters
    ----------
    loads : dict of str to int
        Requests in flight by endpoint id.
    stalled : frozenset of str
        Endpoints whose work has stalled a moment ago.
    configuration_version : int
        Version in force; 0 if there is none.
    has_traffic : bool
        Whether a caller's request has arrived at any node.
    busy_groups : dict of str to float
        Groups that this node's requests keep busy, by model.
    loading : frozenset of str
        Engines that load weights by this node's orders.
    """

    loads: dict[str, int]
    stalled: frozenset[str]
    configuration_version: int
    has_traffic: bool
    busy_groups: dict[str, float]
    loading: frozenset[str]
