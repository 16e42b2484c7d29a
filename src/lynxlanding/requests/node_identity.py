"""Identity of the node that owns a claim."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeIdentity:
    """Identity of one process run of a node.

    Parameters
    ----------
    node_id : str
        Name of the node; a restarted node keeps it.
    incarnation : str
        Unique for each start of the process, which distinguishes a restarted node from the process
        that owned a claim.
    address : str
        ``host:port`` of the peer listener.
    """

    node_id: str
    incarnation: str
    address: str
