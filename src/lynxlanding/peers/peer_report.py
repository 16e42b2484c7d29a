"""What a node tells the others several times a second."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReport:
    """Report of one node.

    Parameters
    ----------
    node_id : str
        Sender.
    incarnation : int
        Start of the sender's process; a later one replaces an earlier one.
    sequence : int
        Number of the report within the incarnation.
    address : str
        ``host:port`` that the sender receives reports at.
    configuration_version : int
        Version in force at the sender; 0 if there is none.
    loads : dict of int to int
        Requests in flight by the hash of the endpoint id.
    has_traffic : bool
        Whether the sender knows of a caller's request at any node.
    stalled : frozenset of int
        Hashes of the endpoints whose work stalls, as seen by the sender.
    busy_groups : dict of str to float
        Groups that the sender's requests keep busy, by model.
    loading : frozenset of int
        Hashes of the engines that load weights by the sender's orders.
    """

    node_id: str
    incarnation: int
    sequence: int
    address: str
    configuration_version: int
    loads: dict[int, int]
    has_traffic: bool = False
    stalled: frozenset[int] = frozenset()
    busy_groups: dict[str, float] = dataclasses.field(default_factory=dict)
    loading: frozenset[int] = frozenset()
