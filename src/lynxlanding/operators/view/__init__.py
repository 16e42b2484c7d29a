"""Tables of the cluster state that operators query; collected once for each query."""

from lynxlanding.operators.view import cluster_view, rows

__all__ = ["cluster_view", "rows"]
