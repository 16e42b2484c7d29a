"""A request as it came from a caller."""

import dataclasses
from collections.abc import Callable

MODEL = "model"
SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A parsed request.

    Parameters
    ----------
    request_id : str
        Identity that the system gave to the request.
    workspace : str
        Workspace that the token named.
    target_kind : {"model", "service"}
        Whether a model or a plain service is called.
    target : str
        Name of the model or service.
    method, path : str
        HTTP method, and path with query at the endpoint.
    headers : dict of str to str
        Headers to pass on.
    body : bytes
        Body to pass on.
    received_at, deadline : float
        Seconds of the monotonic clock.
    idempotent : bool
        Whether the request may be repeated.
    idempotency_key : str or None
        The caller's key of a non-idempotent request.
    priority : int
        0 to 9, 9 is the most urgent.
    stream : bool
        Whether the answer is a stream of server-sent events.
    prompt : bytes
        Text from whose start the prefix affinity is computed.
    has_caller_left : callable
        Returns whether the caller has closed its connection.
    """

    request_id: str
    workspace: str
    target_kind: str
    target: str
    method: str
    path: str
    headers: dict
    body: bytes
    received_at: float
    deadline: float
    idempotent: bool
    idempotency_key: str | None
    priority: int
    stream: bool
    prompt: bytes
    has_caller_left: Callable[[], bool] = lambda: False
