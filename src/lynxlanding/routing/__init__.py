"""State of the endpoints and routing policies."""

from lynxlanding.routing import (
    attempt_result,
    cache_index,
    cache_report,
    endpoint_member,
    endpoint_poller,
    endpoint_pool,
    endpoint_state,
    endpoint_view,
    hash_ring,
    in_flight_request,
    load_report,
    policy,
    policy_registry,
    poll_result,
    prefix,
    routing_actor,
)

__all__ = [
    "attempt_result",
    "cache_index",
    "cache_report",
    "endpoint_member",
    "endpoint_poller",
    "endpoint_pool",
    "endpoint_state",
    "endpoint_view",
    "hash_ring",
    "in_flight_request",
    "load_report",
    "policy",
    "policy_registry",
    "poll_result",
    "prefix",
    "routing_actor",
]
