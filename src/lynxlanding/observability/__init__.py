"""Metrics, structured logs and the burn report of service-level objectives."""

from lynxlanding.observability import (
    burn,
    logs,
    metrics,
    request_observer,
    request_summary,
    request_timer,
)

__all__ = [
    "burn",
    "logs",
    "metrics",
    "request_observer",
    "request_summary",
    "request_timer",
]
