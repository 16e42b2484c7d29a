"""Exception hierarchy: one type for each failure."""

from lynxlanding.errors import (
    base,
    configuration,
    endpoint,
    groups,
    membership,
    operators,
    platform,
    request,
    settings,
)

__all__ = [
    "base",
    "configuration",
    "endpoint",
    "groups",
    "membership",
    "operators",
    "platform",
    "request",
    "settings",
]
