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
    prefix_key : str or None
        Key of the prompt's prefix, see ``prefix.prefix_key``; None if there is no prompt.
    excluded_addresses : frozenset of str
        Addresses at which earlier attempts of the request failed.
    """

    prefix_key: str | None = None
    excluded_addresses: frozenset = frozenset()


class RoutingPolicy(Protocol):
    """Chooses the endpoint of one attempt.

    A policy returns a candidate of the pool that is not excluded, and None only if there is no
    such candidate. It keeps no state about endpoints.
    """

    def choose(
        self,
        pool: endpoint_pool.EndpointPool,
        request: RouteRequest,
        now: float,
        random_state: numpy.random.Generator,
    ) -> endpoint_state.EndpointState | None:
        """Return the endpoint for a request, or None if every candidate is excluded."""
        ...
