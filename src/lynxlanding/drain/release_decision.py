"""Decision whether a leaving endpoint may be released."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ReleaseDecision:
    """Decision about one leaving endpoint.

    Parameters
    ----------
    is_released : bool
        Whether no request can still be in flight.
    in_flight : int
        Number of requests in flight that nodes reported.
    silent_nodes : int
        Number of nodes that have not reported since the drain began.
    release_at : float
        Latest monotonic time at which the endpoint is released.
    """

    is_released: bool
    in_flight: int
    silent_nodes: int
    release_at: float
