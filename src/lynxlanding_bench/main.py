"""Command ``lynx-bench``: seeded experiments, each with a JSON result and a table."""

import click

from lynxlanding_bench import (
    causal_delivery,
    control_cost,
    group_changes,
    group_repair,
    idle_cost,
    node_load,
    planning_cost,
    propagation_time,
    request_costs,
    result_file,
)
from lynxlanding_bench.scenario import command


@click.group()
def main():
    """Run seeded load and experiments."""


# Every experiment module defines one click command and is registered here.
main.add_command(group_repair.group_repair)
main.add_command(group_changes.group_recovery)
main.add_command(group_changes.drain_delay)
main.add_command(result_file.compare)
main.add_command(causal_delivery.command)
main.add_command(control_cost.command)
main.add_command(idle_cost.command)
main.add_command(node_load.command)
main.add_command(command.scenarios)
main.add_command(planning_cost.command)
main.add_command(propagation_time.command)
main.add_command(request_costs.command)
