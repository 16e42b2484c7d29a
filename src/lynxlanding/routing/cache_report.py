"""Prefix cache events of one endpoint."""

import dataclasses

STORED = "stored"
EVICTED = "evicted"


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change of an engine's prefix cache.

    Parameters
    ----------
    sequence : int
        Sequence number of the event; an instance numbers its events from 1 without gaps.
    type : {"stored", "evicted"}
        Whether the prefix was added or removed.
    prefix_key : str
        Key of the prefix, see ``prefix.prefix_key``.
    """

    sequence: int
    type: str
    prefix_key: str


@dataclasses.dataclass(slots=True, frozen=True)
class CacheReport:
    """Cache events from one response; they may be late and have gaps.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    events : tuple of CacheEvent
        Events in the order of their sequence numbers.
    sequence : int
        Last sequence number that the endpoint had assigned.
    instance : str or None
        Instance of the endpoint that the events were fetched from. Events of an earlier instance
        are ignored; None skips this check.
    """

    address: str
    events: tuple
    sequence: int
    instance: str | None = None
