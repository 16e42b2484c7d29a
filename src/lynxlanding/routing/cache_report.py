"""Cache events of one endpoint."""

import dataclasses

STORED = "stored"
EVICTED = "evicted"


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    Parameters
    ----------
    sequence : int
        Number of the event; the endpoint's events are numbered without gaps.
    type : {"stored", "evicted"}
        What happened.
    prefix : str
        Key of the prefix, see ``prefix.prefix_key``.
    """

    sequence: int
    type: str
    prefix: str


@dataclasses.dataclass(slots=True, frozen=True)
class CacheReport:
    """Cache events that arrived together, possibly late and with gaps.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    events : tuple of CacheEvent
        Events in order of their sequence.
    sequence : int
        Last sequence that the endpoint had given out.
    instance : str or None
        Instance of the endpoint that was known when the events were fetched; events of an earlier
        instance are ignored.
    """

    address: str
    events: tuple
    sequence: int
    instance: str | None = None
