"""An attempt whose connection broke while the endpoint was working on it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenAttempt:
    """An attempt that broke off.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that it was sent to.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    prompt_parts : tuple of int
        Keys of the request and of the shared parts of its prompt.
    sent_at : float
        When the request was sent, in monotonic seconds.
    ended_at : float
        When it broke off, in monotonic seconds.
    address : str
        Address that it was sent to.
    """

    endpoint_id: str
    started_ms: int
    prompt_parts: tuple[int, ...]
    sent_at: float
    ended_at: float
    address: str = ""
