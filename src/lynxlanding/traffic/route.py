"""Routes of the configuration, which map requests to services."""

import dataclasses

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"
KINDS = frozenset({SAFE, UNSAFE, STREAMING})


@dataclasses.dataclass(slots=True, frozen=True)
class RouteTarget:
    """Target service of a route, with its weight in the traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Rule that maps requests to services, with their limits and objectives.

    Parameters
    ----------
    name : str
        Unique name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that the route matches.
    kind : str
        One of ``KINDS``.
    timeout_s : float
        Maximum time that a request may wait for a response.
    target_latency_s : float
        Latency objective for the response, or for the first event of a stream.
    priority : int
        Priority of the requests; 0 is the most urgent.
    targets : tuple of RouteTarget
        Target services and their weights.
    max_attempts : int
        Maximum number of endpoints that one request may be sent to.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether an interrupted stream may be resumed on another endpoint.
    gap_target_s : float
        Objective for the interval between two events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    gap_target_s: float

    @property
    def is_idempotent(self):
        """Whether a request may safely run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.is_resumable)

    @property
    def is_stream(self):
        """Whether responses are streams of server-sent events."""
        return self.kind == STREAMING
