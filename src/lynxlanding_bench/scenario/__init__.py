"""Test language for runs of several processes."""

from lynxlanding_bench.scenario import (
    command,
    counting,
    group_installation,
    installation,
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
    "counting",
    "group_installation",
    "installation",
    "load",
    "observer",
    "operator_client",
    "outcome",
    "parsing",
    "runner",
    "steps",
]
