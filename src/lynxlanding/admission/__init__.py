"""Admission of requests: queue, deadlines, priorities and workspace shares."""

from lynxlanding.admission import (
    admission_actor,
    admission_controller,
    admission_gate,
    admission_metrics,
    admission_queue,
    admission_request,
    decision,
    rate_meter,
    share_allocator,
    token_bucket,
    workspace_shares,
)

__all__ = [
    "admission_actor",
    "admission_controller",
    "admission_gate",
    "admission_metrics",
    "admission_queue",
    "admission_request",
    "decision",
    "rate_meter",
    "share_allocator",
    "token_bucket",
    "workspace_shares",
]
