"""Command ``lynx-bench``: seeded experiments, each with a JSON result and a table."""

import click

from lynxlanding_bench import (
    causal_delivery,
    control_cost,
    dispatch_cost,
    group_changes,
    group_repair,
    idle_cost,
    node_load,
    overload_experiment,
    planning_cost,
    propagation_time,
    request_costs,
    result_file,
    result_plot,
    routing_cost_experiment,
    routing_experiment,
    shares_experiment,
)
from lynxlanding_bench.scenario import command
from lynxlanding_bench.site_day import command as site_command


@click.group()
def main():
    """Run seeded load and experiments."""


# Every experiment module defines one click command and is registered here.
main.add_command(group_repair.group_repair)
main.add_command(group_changes.group_recovery)
main.add_command(group_changes.drain_delay)
main.add_command(result_file.compare)
main.add_command(result_plot.plot)
main.add_command(causal_delivery.command)
main.add_command(control_cost.command)
main.add_command(dispatch_cost.command)
main.add_command(idle_cost.command)
main.add_command(node_load.command)
main.add_command(command.scenarios)
main.add_command(planning_cost.command)
main.add_command(propagation_time.command)
main.add_command(request_costs.command)
main.add_command(routing_experiment.routing_policies)
main.add_command(routing_cost_experiment.routing_cost)
main.add_command(overload_experiment.overload)
main.add_command(shares_experiment.shares)
main.add_command(site_command.command)

TOOLS = (result_file.compare.name, result_plot.plot.name)


@main.command("all")
@click.pass_context
def run_all(context):
    """Run every experiment with its default settings and seed, one after the other."""
    for name, experiment in sorted(main.commands.items()):
        if name in TOOLS or name == context.info_name:
            continue
        click.echo(f"== {name}")
        context.invoke(experiment)
