"""Rolling changes of versions and adapters, and wind-downs of models."""

from lynxlanding.rollout import (
    owed_capacity,
    replica_targets,
    version_change,
    version_change_plan,
    winddown_plan,
    winddown_row,
)

__all__ = [
    "owed_capacity",
    "replica_targets",
    "version_change",
    "version_change_plan",
    "winddown_plan",
    "winddown_row",
]
