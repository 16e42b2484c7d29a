"""Identity of a node among its peers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PeerIdentity:
    """Identity of one run of a node.

    Parameters
    ----------
    node_id : str
        Unique id of the node, kept across restarts.
    incarnation : int
        Start time of the process. A later run of the node has a higher value, unless the clock was
        set back.
    address : str
        ``host:port`` at which the node receives reports over UDP.
    data_centre : str
        Data centre of the node.
    callers_address : str
        ``host:port`` at which the node takes callers' requests.
    """

    node_id: str
    incarnation: int
    address: str
    data_centre: str
    callers_address: str = ""
