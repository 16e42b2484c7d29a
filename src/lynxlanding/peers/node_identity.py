"""Identity of a node among its peers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeIdentity:
    """A node.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of the process; later starts have higher numbers.
    address : str
        ``host:port`` of the UDP socket.
    data_centre : str
        Data centre.
    """

    node_id: str
    incarnation: int
    address: str
    data_centre: str
