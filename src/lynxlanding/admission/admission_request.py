"""Properties of a request that admission depends on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Request to be admitted, queued or refused.

    Parameters
    ----------
    request_id : str
        Id of the request.
    workspace : str
        Workspace that sent the request.
    pool : str
        Pool of endpoints that can serve the request; each pool has its own queue.
    priority : int
        Priority from 0 to 9, where 9 is the most urgent.
    deadline : float
        Monotonic time, in seconds, after which the response is of no use to the caller.
    tokens : float
        Expected number of tokens.
    """

    request_id: str
    workspace: str
    pool: str
    priority: int
    deadline: float
    tokens: float = 0.0
