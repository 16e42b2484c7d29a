"""Endpoint view and routing policies."""

from lynxlanding.routing import routing_actor

__all__ = ["routing_actor"]
