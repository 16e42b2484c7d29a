"""Decisions of ``Propagation``, executed by the ``ConfigurationActor``."""

import dataclasses

# Fetch source that stands for the store instead of a peer.
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
        Node that holds the revision, or ``STORE``.
    """

    number: int
    digest: str
    source: str


@dataclasses.dataclass(slots=True, frozen=True)
class Adopt:
    """Make a loaded revision the current one."""

    number: int
    digest: str


@dataclasses.dataclass(slots=True, frozen=True)
class StartExchanges:
    """Start gossip exchanges with ``count`` peers immediately, to announce the revision."""

    count: int


@dataclasses.dataclass(slots=True, frozen=True)
class Started:
    """The node has a recent revision and may become ready."""
