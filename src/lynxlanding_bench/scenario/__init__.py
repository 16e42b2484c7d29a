"""Test language for runs of several processes."""

from lynxlanding_bench.scenario import (
    command,
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
    "load",
    "observer",
    "operator_client",
    "outcome",
    "parsing",
    "runner",
    "steps",
]
