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
    has_cache_events : bool
        Whether it publishes cache events.
    last_cache_sequence : int
        Sequence number of its last cache event that is known.
    instance : str or None
        Its instance in the last load report.
    """

    address: str
    has_cache_events: bool
    last_cache_sequence: int
    instance: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class PollResult:
    """Response of an endpoint to one poll.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    is_reachable : bool
        Whether it responded, with any status.
    load : load_report.LoadReport or None
        Its load report; None if it sent none or a malformed one.
    cache : cache_report.CacheReport or None
        Its new cache events; None if they were not fetched or the response was malformed.
    """

    address: str
    is_reachable: bool
    load: load_report.LoadReport | None = None
    cache: cache_report.CacheReport | None = None
