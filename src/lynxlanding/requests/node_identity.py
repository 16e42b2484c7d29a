"""Identity of the node that owns a claim."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeIdentity:
    """One run of one node.

    Parameters
    ----------
    node_id : str
        Name of the node; a restarted node keeps it.
    incarnation : str
        Differs for each start of the process, so that a restarted node is not taken for the
        process that held a claim.
    address : str
        ``host:port`` of the peer listener.
    """

    node_id: str
    incarnation: str
    address: str
