"""Bounds for the release of a leaving endpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseRules:
    """Bounds, in seconds.

    Parameters
    ----------
    notice_s : float
        Time after which every node has stopped sending, even without the store.
    max_timeout_s : float
        Longest deadline of a request.
    """

    notice_s: float = 5.0
    max_timeout_s: float = 600.0
