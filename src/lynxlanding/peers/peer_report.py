"""Load report that a node sends to its peers several times a second."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PeerReport:
    """Load report of one node.

    Parameters
    ----------
    node_id : str
        Id of the sender.
    incarnation : int
        Start time of the sender's process. A later run has a higher value, unless the
        clock was set back.
    sequence : int
        Sequence number of the report within the incarnation.
    address : str
        ``host:port`` at which the sender receives reports.
    configuration_version : int
        Version of the configuration in force at the sender; 0 if there is none.
    loads : dict of int to int
        The sender's requests in flight by the hash of the endpoint id.
    has_traffic : bool
        Whether the sender knows that a caller's request has arrived at any node.
    stalled : frozenset of int
        Hashes of the endpoints that the sender recently saw stalling.
    busy_groups : dict of str to float
        Number of groups that the sender's requests keep busy, by model.
    loading : frozenset of int
        Hashes of the engines that are loading weights on the sender's orders.
    is_store_unavailable : bool
        Whether the store refuses or does not answer the sender.
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
    is_store_unavailable: bool = False
