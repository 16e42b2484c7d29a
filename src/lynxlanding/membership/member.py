"""View of a node for other packages."""

import dataclasses

LIVE = "live"
SUSPECTED = "suspected"


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One node of the fleet.

    Parameters
    ----------
    node_id : str
        Id of the node.
    incarnation : int
        Increases with every start of the node.
    address : str
        ``host:port`` of the peer listener.
    place, region : str
        Data centre and region.
    state : {"live", "suspected"}
        A node is suspected if its heartbeat has not advanced recently; removed nodes are not
        listed.
    """

    node_id: str
    incarnation: int
    address: str
    place: str
    region: str
    state: str
