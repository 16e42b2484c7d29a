"""Identity and address of one incarnation of a node."""

import dataclasses

import xxhash

# 48 bits identify an incarnation in digests: with 410 nodes, two share a token with a probability
# of 3e-10, and a digest entry takes 6 bytes instead of the node's name.
TOKEN_BITS = 48


@dataclasses.dataclass(slots=True, frozen=True)
class NodeInfo:
    """What never changes during one incarnation.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Increases with every start; UNIX milliseconds of the start.
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
        """Return the 48-bit token of the incarnation."""
        return xxhash.xxh64_intdigest(f"{self.node_id}\0{self.incarnation}") >> (64 - TOKEN_BITS)
