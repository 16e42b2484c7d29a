"""Exception hierarchy: one type for each failure."""

from lynxlanding.errors import base, configuration, endpoint, groups, platform, request, settings

__all__ = ["base", "configuration", "endpoint", "groups", "platform", "request", "settings"]
