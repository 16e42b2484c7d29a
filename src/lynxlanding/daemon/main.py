"""Entry point of ``lynxlandingd``."""

# Replaces operating-system threads by gevent greenlets: one operating-system thread per stream
# fails at the full load of a node. The patch must precede all other imports and is applied only
# here.
from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import click  # noqa: E402

from lynxlanding.daemon import node  # noqa: E402
from lynxlanding.errors import settings as settings_errors  # noqa: E402
from lynxlanding.settings import daemon_settings, loading  # noqa: E402

EXIT_SETTINGS = 2


@click.command()
@click.option("--config", required=True, type=click.Path(), help="YAML settings file.")
def main(config):
    """Run one node until SIGTERM, then drain and exit."""
    try:
        settings = loading.load(config, daemon_settings.DaemonSettings)
    except settings_errors.SettingsError as e:
        click.echo(f"lynxlandingd: settings: {e}", err=True)
        sys.exit(EXIT_SETTINGS)
    node.Node(settings).run()


if __name__ == "__main__":
    main()
