"""Result of polling one endpoint."""

import dataclasses

from lynxlanding.routing import cache_report, load_report


@dataclasses.dataclass(slots=True, frozen=True)
class PollTarget:
    """An endpoint to poll.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    has_cache : bool
        Whether it publishes cache events.
    cache_sequence : int
        Last sequence of its cache events that is known.
    instance : str or None
        Its instance as of the last report.
    """

    address: str
    has_cache: bool
    cache_sequence: int
    instance: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class PollResult:
    """What one poll returned.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    is_reachable : bool
        Whether it responded at all.
    load : load_report.LoadReport or None
        Its load report.
    cache : cache_report.CacheReport or None
        Its cache events since the last poll.
    """

    address: str
    is_reachable: bool
    load: load_report.LoadReport | None = None
    cache: cache_report.CacheReport | None = None
