"""Decisions of ``propagation`` for the actor to carry out."""

import dataclasses

# Source of a fetch that is not a peer.
STORE = ""


@dataclasses.dataclass(slots=True, frozen=True)
class SetWatching:
    """Start or stop watching the head in the store."""

    is_watching: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ReadHead:
    """Read the head once."""


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """Load a revision.

    Parameters
    ----------
    number : int
        Revision number.
    digest : str
        Digest of the revision.
    source : str
        Node that holds it, or ``STORE``.
    """

    number: int
    digest: str
    source: str


@dataclasses.dataclass(slots=True, frozen=True)
class Adopt:
    """Put a loaded revision into effect."""

    number: int
    digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class Push:
    """Open exchanges with ``count`` peers at once, to spread the held revision."""

    count: int


@dataclasses.dataclass(slots=True, frozen=True)
class Started:
    """The node knows a recent revision and may become ready."""
