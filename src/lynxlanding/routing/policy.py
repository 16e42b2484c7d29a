"""Interface of routing policies."""

import dataclasses
from typing import Protocol

import numpy

from lynxlanding.routing import endpoint_pool, endpoint_state


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """What a policy needs to know about a request.

    Parameters
    ----------
    prefix : str or None
        Key of the prompt's prefix, see ``prefix.prefix_key``.
    excluded : frozenset of str
        Addresses that earlier attempts of the request have used.
    """

    prefix: str | None = None
    excluded: frozenset = frozenset()


class RoutingPolicy(Protocol):
    """Chooses the endpoint of one attempt.

    Only candidates of the pool are chosen, never an excluded one, and None is returned only if
    every candidate is excluded. A policy keeps no state about endpoints.
    """

    def choose(
        self,
        pool: endpoint_pool.EndpointPool,
        request: RouteRequest,
        now: float,
        random_state: numpy.random.Generator,
    ) -> endpoint_state.EndpointState | None:
        """Return the endpoint for a request, or None if there is no candidate."""
        ...
