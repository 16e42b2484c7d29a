"""What admission needs to know about a request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request that asks for admission.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    workspace : str
        Workspace that sends it.
    pool : str
        Pool of endpoints that it needs; each has its own queue.
    priority : int
        0 to 9, 9 most urgent.
    deadline : float
        Monotonic time in seconds after which nobody waits for the response.
    tokens : float
        Expected number of tokens.
    """

    request_id: str
    workspace: str
    pool: str
    priority: int
    deadline: float
    tokens: float = 0.0
