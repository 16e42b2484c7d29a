"""Registry of the endpoints in the platform's store."""

from lynxlanding.fleet import (
    endpoint_change,
    endpoint_record,
    group_membership,
    health_client,
    incarnation_memory,
    lapse,
    possible_restart,
    registry,
)

__all__ = [
    "endpoint_change",
    "endpoint_record",
    "group_membership",
    "health_client",
    "incarnation_memory",
    "lapse",
    "possible_restart",
    "registry",
]
