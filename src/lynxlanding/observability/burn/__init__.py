"""Error budgets and burn rates of the service-level objectives."""

from lynxlanding.observability.burn import (
    burn_actor,
    burn_rates,
    counts,
    group_observation,
    objectives,
    reporter,
    slo_object,
    totals,
    writer,
)

__all__ = [
    "burn_actor",
    "burn_rates",
    "counts",
    "group_observation",
    "objectives",
    "reporter",
    "slo_object",
    "totals",
    "writer",
]
