"""Routes from callers to services."""

import dataclasses

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"
KINDS = frozenset({SAFE, UNSAFE, STREAMING})


@dataclasses.dataclass(slots=True, frozen=True)
class RouteTarget:
    """A service that a route leads to, with its weight in the split."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A route of the configuration.

    Parameters
    ----------
    name, host, path_prefix : str
        Identity of the route and what it matches.
    kind : str
        One of ``KINDS``.
    timeout_s : float
        Longest time that a request may be kept waiting.
    target_latency_s : float
        Objective for the response or the first event of a stream.
    priority : int
        Rank of the requests; 0 is the most urgent.
    targets : tuple of RouteTarget
        Weighted split over services.
    max_attempts : int
        Endpoints that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may continue on another endpoint.
    gap_target_s : float
        Objective for the pause between two events of a stream.
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
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.is_resumable)

    @property
    def is_stream(self):
        """Whether responses are server-sent events."""
        return self.kind == STREAMING
