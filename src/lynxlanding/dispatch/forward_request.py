"""A caller's request to be forwarded to an endpoint."""

import dataclasses
import math
from collections.abc import Callable

from lynxlanding.dispatch import cost_model, request_metadata
from lynxlanding.traffic import route as traffic_route


def _never():
    return math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardRequest:
    """A request that was read completely and matched with a route.

    Parameters
    ----------
    metadata : RequestMetadata
        Decoded headers.
    method, target : str
        HTTP method and request target as sent by the caller.
    headers : list of (str, str)
        Headers as sent by the caller.
    body : bytes
        Complete body.
    route : Route
        Matching route.
    service : str
        Service selected from the route's weighted split.
    workspace : str or None
        Name of the caller's workspace.
    priority : int
        Rank of the workspace or route; 0 is the most urgent.
    urgency : int or None
        Rank in an endpoint's queue; 0 is the most urgent.
    work : Work
        Estimated size.
    received_at : float
        Monotonic time in seconds.
    caller_deadline : float
        Until when the caller waits, monotonic seconds.
    has_caller_left : callable
        Returns whether the caller has closed its connection.
    key : int or None, optional
        Key by which nodes recognise the request when it comes again.
    get_answer_by : callable, optional
        Returns until when this node can answer, monotonic seconds.
    """

    metadata: request_metadata.RequestMetadata
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    route: traffic_route.Route
    service: str
    workspace: str | None
    priority: int
    urgency: int | None
    work: cost_model.Work
    received_at: float
    caller_deadline: float
    has_caller_left: Callable[[], bool]
    key: int | None = None
    get_answer_by: Callable[[], float] = _never

    @property
    def crash_keys(self):
        """Keys of what may crash the endpoints that run the request: itself and its parts."""
        parts = self.metadata.prompt_parts
        return parts if self.key is None else (self.key, *parts)

    @property
    def deadline(self):
        """Until when the request must be answered, monotonic seconds."""
        return min(self.caller_deadline, self.get_answer_by())
