"""Answer of a node that was asked for its configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CopyAnswer:
    """What a node has for another one that asks for a newer configuration.

    Parameters
    ----------
    data : bytes or None
        Encoded copy; None if the node has nothing newer, or is busy.
    is_busy : bool
        Whether the node has a newer one and serves others now.
    holders : tuple of str
        Addresses of nodes that have it as well, ``host:port``.
    """

    data: bytes | None = None
    is_busy: bool = False
    holders: tuple[str, ...] = ()
