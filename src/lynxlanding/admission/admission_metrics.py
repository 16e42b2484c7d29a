"""Metrics of admission."""

from opentelemetry import metrics

_meter = metrics.get_meter("lynxlanding.admission")

DECISIONS = _meter.create_counter(
    "lynxlanding.admission.decisions",
    description="Final decisions by outcome, whether queued before, within share, and reason.",
)
