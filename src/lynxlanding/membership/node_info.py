"""Identity and address of one incarnation of a node."""

import dataclasses

import xxhash

# Digests identify an incarnation by a 48-bit hash, which takes 6 bytes instead of the node's name.
# With 410 nodes, the probability of a collision is 3e-10.
TOKEN_BITS = 48


@dataclasses.dataclass(slots=True, frozen=True)
class NodeInfo:
    """Attributes of a node that stay the same during one incarnation.

    Parameters
    ----------
    node_id : str
        Id of the node.
    incarnation : int
        Start time in UNIX milliseconds; increases with every start.
    address : str
        ``host:port`` of the peer listener.
    place, region : str
        Data centre and region.
    """

    node_id: str
    incarnation: int
    address: str
    place: str
    region: str

    def token(self):
        """Return the 48-bit hash that identifies the incarnation in digests."""
        return xxhash.xxh64_intdigest(f"{self.node_id}\0{self.incarnation}") >> (64 - TOKEN_BITS)
