"""Exceptions of lynxlanding, one class for each kind of failure."""

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
