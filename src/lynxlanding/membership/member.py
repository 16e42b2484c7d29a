"""A node as other packages see it."""

import dataclasses

LIVE = "live"
SUSPECTED = "suspected"


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One node of the fleet.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Increases with every start of the node.
    address : str
        ``host:port`` of the peer listener.
    place, region : str
        Data centre and region.
    state : {"live", "suspected"}
        Suspected nodes have not been heard of for a while; removed nodes are not listed.
    """

    node_id: str
    incarnation: int
    address: str
    place: str
    region: str
    state: str
