"""Time limits for the release of a leaving endpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseRules:
    """Time limits, in seconds.

    Parameters
    ----------
    propagation_s : float
        Time from the first leaving signal until every node has stopped sending requests, even if
        the store is unavailable.
    max_timeout_s : float
        Longest deadline of a request.
    """

    propagation_s: float = 5.0
    max_timeout_s: float = 600.0
