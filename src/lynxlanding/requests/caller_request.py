"""A parsed request of a caller."""

import dataclasses
from collections.abc import Callable

MODEL = "model"
SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """Request of a caller after parsing.

    Parameters
    ----------
    request_id : str
        Id that the gateway assigned to the request.
    workspace : str
        Workspace of the bearer token.
    target_kind : {"model", "service"}
        Whether the target is a model or a plain service.
    target : str
        Name of the model or service.
    method, path : str
        HTTP method, and path with query to send to the endpoint.
    headers : dict of str to str
        Headers to forward.
    body : bytes
        Body to forward.
    received_at, deadline : float
        Times on the monotonic clock, in seconds.
    idempotent : bool
        Whether the request may be executed more than once.
    idempotency_key : str or None
        Idempotency key that the caller sent with a non-idempotent request.
    priority : int
        0 to 9, where 9 is the most urgent.
    stream : bool
        Whether the response is a stream of server-sent events.
    prompt : bytes
        Text whose beginning determines the prefix affinity.
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
