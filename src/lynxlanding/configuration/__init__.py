"""Configuration objects, commits, snapshots and their propagation."""

from lynxlanding.configuration import kinds, snapshot, specs

__all__ = ["kinds", "snapshot", "specs"]
