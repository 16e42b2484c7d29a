"""Command-line tool ``lynxctl``: queries and changes through the admin API of any node."""

import json
import pathlib
import sys
import time

import click

from lynxlanding.configuration import commit
from lynxlanding.errors import operators as operator_errors
from lynxlanding.errors import settings as settings_errors
from lynxlanding.operators import (
    _burn_output,
    _cli_support,
    admin_app,
    exit_codes,
    explain_command,
    formatting,
)
from lynxlanding.operators.language import evaluation, parsing
from lynxlanding.settings import daemon_settings, loading

DEFAULT_WATCH_INTERVAL_S = 1.0


@click.group()
@click.option(
    "--node",
    "nodes",
    multiple=True,
    envvar="LYNXCTL_NODE",
    metavar="URL",
    help="Peer listener of a node, such as http://10.0.0.5:8081; may be repeated.",
)
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
@click.pass_context
def main(context, nodes, output):
    """Ask what serves, what is stranded and what is leaving, and change the configuration."""
    context.obj = {"nodes": nodes, "output": output}


@main.command()
@click.argument("text")
@click.option("--watch", is_flag=True, help="Repeat the query until interrupted.")
@click.option("--interval", default=DEFAULT_WATCH_INTERVAL_S, type=click.FloatRange(min=0.1))
@click.pass_obj
def query(options, text, watch, interval):
    """Run the queries in TEXT, such as "show stranded"."""
    try:
        for statement in parsing.parse_queries(text):
            evaluation.check_query(statement)
    except operator_errors.StatementError as e:
        _cli_support.exit_with_error(exit_codes.INVALID, str(e), _cli_support.mark_error(text, e))
    client = _cli_support.make_client(options)
    while True:
        status, response = _cli_support.call_node(client.query, text)
        if not watch or status == 200:
            _cli_support.exit_on_error(status, response)
            _print_query_results(options, response)
        if not watch:
            return
        time.sleep(interval)


@main.command()
@click.argument("file", type=click.File("r", encoding="utf-8"))
@click.option("--dry-run", is_flag=True, help="Check and show the difference; change nothing.")
@click.option("--author", default=None, help="Name for the history (default: login name).")
@click.option("--change-id", default=None, help="Id of an earlier submission to repeat.")
@click.option("--watch", is_flag=True, help="Wait until every live node has the change.")
@click.option("--watch-limit", default=60.0, type=click.FloatRange(min=1), metavar="SECONDS")
@click.pass_obj
def apply(options, file, dry_run, author, change_id, watch, watch_limit):
    """Apply the commands in FILE ("-" reads the input) as one change."""
    text = _cli_support.read_text(file)
    try:
        parsing.parse_commands(text)
    except operator_errors.StatementError as e:
        _cli_support.exit_with_error(
            exit_codes.INVALID, f"{file.name}: {e}", _cli_support.mark_error(text, e)
        )
    client = _cli_support.make_client(options)
    document = {
        "text": text,
        "author": author or _cli_support.get_login_name(),
        "change_id": change_id or _cli_support.new_change_id(),
        "dry_run": dry_run,
    }
    hint = f"repeat with --change-id {document['change_id']}; a repeat is applied only once"
    try:
        status, response = _cli_support.call_node(client.apply, document)
    except operator_errors.ChangeOutcomeUnknown as e:
        _cli_support.exit_with_error(
            exit_codes.OUTCOME_UNKNOWN, f"it is not known whether the change is in: {e}", hint
        )
    except KeyboardInterrupt:
        _cli_support.exit_with_error(
            exit_codes.OUTCOME_UNKNOWN, "interrupted before the answer", hint
        )
    _cli_support.exit_on_error(status, response, f"{file.name}: ", text)
    _print_change(options, response)
    if watch and not dry_run:
        _wait_until_in_effect(client, response["revision"], watch_limit)


@main.command()
@click.option("--limit", default=20, type=click.IntRange(1, 1000))
@click.pass_obj
def history(options, limit):
    """Show the last accepted changes, newest first."""
    status, response = _cli_support.call_node(
        _cli_support.make_client(options).get, f"history?limit={limit}"
    )
    _cli_support.exit_on_error(status, response)
    if options["output"] == "json":
        click.echo(json.dumps(response, indent=1))
        return
    rows = []
    for entry in response["changes"]:
        accepted_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["accepted_at"]))
        statements = " ".join(entry["statements"].split())
        rows.append(
            (entry["revision"], accepted_at, entry["author"], entry["change_id"], statements[:80])
        )
    columns = ("revision", "accepted", "author", "change", "statements")
    click.echo(formatting.format_table(columns, rows))


@main.command("check-config")
@click.argument("file", type=click.File("r", encoding="utf-8"))
@click.pass_obj
def check_config(options, file):
    """Check FILE: settings of a node (.yaml, .yml), or commands (any other name).

    With --node, commands are also checked against the configuration of that node.
    """
    text = _cli_support.read_text(file)
    if pathlib.Path(file.name).suffix in (".yaml", ".yml"):
        try:
            loading.load(file.name, daemon_settings.DaemonSettings)
        except settings_errors.SettingsError as e:
            _cli_support.exit_with_error(
                exit_codes.INVALID, f"{file.name}: {e}", "correct this key and check again"
            )
        click.echo(f"{file.name}: settings are valid")
        return
    try:
        parsing.parse_commands(text)
    except operator_errors.StatementError as e:
        _cli_support.exit_with_error(
            exit_codes.INVALID, f"{file.name}: {e}", _cli_support.mark_error(text, e)
        )
    if not options["nodes"]:
        click.echo(f"{file.name}: syntax is valid; give --node to check names against a node")
        return
    document = {
        "text": text,
        "author": _cli_support.get_login_name(),
        "change_id": _cli_support.new_change_id(),
        "dry_run": True,
    }
    status, response = _cli_support.call_node(_cli_support.make_client(options).apply, document)
    _cli_support.exit_on_error(status, response, f"{file.name}: ", text)
    click.echo(f"{file.name}: valid against revision {response['revision']}")


main.add_command(explain_command.explain)


@main.group()
def report():
    """Show reports."""


@report.command()
@click.option("--plot", type=click.Path(dir_okay=False), help="Also write a plot (PNG or SVG).")
@click.option("--check", is_flag=True, help="Exit with 9 if there is an alert.")
@click.pass_obj
def burn(options, plot, check):
    """Show how fast each service-level objective uses up its error budget."""
    status, response = _cli_support.call_node(_cli_support.make_client(options).get, "burn")
    _cli_support.exit_on_error(status, response)
    if plot is not None:
        try:
            _burn_output.write_plot(response, plot)
        except ImportError:
            _cli_support.exit_with_error(
                exit_codes.USAGE, "--plot needs matplotlib", "install lynxlanding[bench]"
            )
    if options["output"] == "json":
        click.echo(json.dumps(response, indent=1))
    else:
        click.echo(_burn_output.format_burn_report(response))
    if check and any(row["alert"] for row in response["rows"]):
        sys.exit(exit_codes.ALERT)


def _print_query_results(options, response):
    if options["output"] == "json":
        click.echo(json.dumps(response, indent=1))
        return
    for index, table in enumerate(response["results"]):
        if index:
            click.echo()
        click.echo(formatting.format_table(table["columns"], table["rows"]))
    footer = f"{response['node']}, revision {response['revision']}"
    if response["uncertain"]:
        footer += ", not confirmed by the store recently"
    click.echo(f"({footer})", err=True)


def _print_change(options, response):
    if options["output"] == "json":
        click.echo(json.dumps(response, indent=1))
        return
    if response["difference"]:
        rows = []
        for line in response["difference"]:
            rows.append(tuple(line[column] for column in _DIFFERENCE_COLUMNS))
        click.echo(formatting.format_table(_DIFFERENCE_COLUMNS, rows))
    revision, change_id = response["revision"], response["change_id"]
    if response["outcome"] == admin_app.DRY_RUN:
        click.echo(f"dry run against revision {revision}; nothing was changed")
    elif response["outcome"] == commit.NO_DIFFERENCE:
        click.echo(f"revision {revision} already is as asked; no change was made")
    else:
        repeat_note = ", accepted before" if response["outcome"] == commit.REPEATED else ""
        click.echo(f"revision {revision} (change {change_id}{repeat_note})")


_DIFFERENCE_COLUMNS = ("action", "object", "field", "before", "after")


def _wait_until_in_effect(client, revision, timeout_s):
    started = time.monotonic()
    pending_nodes = ["all nodes"]
    while time.monotonic() - started < timeout_s:
        status, response = _cli_support.call_node(
            client.query, f"show node of nodes where revision < {revision} and state = live"
        )
        if status == 200:
            pending_nodes = [row[0] for row in response["results"][0]["rows"]]
            if not pending_nodes:
                click.echo(f"in effect on every live node after {time.monotonic() - started:.1f} s")
                return
        time.sleep(0.2)
    _cli_support.exit_with_error(
        exit_codes.NOT_IN_EFFECT,
        f"revision {revision} is accepted, but not in effect after {timeout_s:g} s on "
        + ", ".join(pending_nodes),
        "look at these nodes with 'show nodes'; the change itself needs no repeat",
    )


if __name__ == "__main__":
    main()
