"""Draining of endpoints and graceful shutdown of nodes."""

from lynxlanding.drain import (
    idle_tracker,
    leaving_signal,
    leaving_table,
    node_stop,
    release_decision,
    release_rules,
    release_tracker,
)

__all__ = [
    "idle_tracker",
    "leaving_signal",
    "leaving_table",
    "node_stop",
    "release_decision",
    "release_rules",
    "release_tracker",
]
