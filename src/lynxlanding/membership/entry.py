"""Published value of a node."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A value that a node publishes under a key.

    Parameters
    ----------
    key : str
        Name of the value.
    value : bytes
        Encoded value; empty if it was deleted.
    version : int
        Sequence number among the node's changes in this scope.
    scope : {"place", "wide"}
        Whether the value reaches the nodes of the publisher's data centre or all nodes.
    """

    key: str
    value: bytes
    version: int
    scope: str
