"""The cluster as operators see it: plain rows, gathered once for each query."""

from lynxlanding.operators.view import cluster_view, rows

__all__ = ["cluster_view", "rows"]
