"""One published value."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """A value of one node.

    Parameters
    ----------
    key : str
        Name of the value.
    value : bytes
        Encoded value; empty after the key was withdrawn.
    version : int
        Position in the sequence of the node's changes in the entry's scope.
    scope : {"place", "wide"}
        How far it is disseminated.
    """

    key: str
    value: bytes
    version: int
    scope: str
