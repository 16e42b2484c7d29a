"""Command line of the node for the VM platform."""

import sys

import click

from lynxlanding.errors import settings as settings_errors
from lynxlanding.node import vm_node
from lynxlanding.settings import loading, vm_settings

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option("--config", required=True, envvar="LYNXLANDING_CONFIG", type=click.Path())
@click.pass_obj
def main(listener, config):
    """Run one node until SIGTERM, then drain and exit."""
    try:
        settings = loading.load(config, vm_settings.VmSettings)
    except settings_errors.SettingsError as e:
        click.echo(f"lynxlanding: settings: {e}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    vm_node.VmNode(settings, config, listener).run()
