"""Test language for runs of several processes."""

from lynxlanding_bench.scenario import (
    command,
    group_installation,
    load,
    observer,
    operator_client,
    outcome,
    parsing,
    runner,
    steps,
)

__all__ = [
    "command",
    "group_installation",
    "load",
    "observer",
    "operator_client",
    "outcome",
    "parsing",
    "runner",
    "steps",
]
