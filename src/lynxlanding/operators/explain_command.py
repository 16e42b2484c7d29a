"""Command ``lynxctl explain``."""

import json
import time

import click

from lynxlanding.operators import _cli_support, exit_codes, formatting, request_timeline


@click.command()
@click.argument("request_id")
@click.argument(
    "files", nargs=-1, required=True, type=click.File("r", encoding="utf-8", errors="replace")
)
@click.pass_obj
def explain(settings, request_id, files):
    """Show what the logs in FILES say about REQUEST_ID, and what led to it.

    The lines of all nodes are ordered by their clocks, which may differ.
    """
    lines = []
    for file in files:
        lines.extend(request_timeline.parse(file))
    story = request_timeline.tell(lines, request_id)
    if not story:
        _cli_support.fail(
            exit_codes.INVALID,
            f"no line about request {request_id} in {len(files)} files",
            "check the id, and that the files cover the time of the request",
        )
    conclusion = request_timeline.conclude(story, request_id)
    if settings["output"] == "json":
        rows = []
        for line in story:
            rows.append(
                {"at": line.at, "node": line.node, "event": line.event, "fields": line.fields}
            )
        click.echo(json.dumps({"lines": rows, "conclusion": conclusion}, indent=1))
        return
    rows = []
    for line in story:
        moment = time.strftime("%H:%M:%S", time.gmtime(line.at)) + f".{int(line.at % 1 * 1000):03d}"
        rows.append((moment, line.node, line.event, line.describe()))
    click.echo(formatting.format_table(("time", "node", "event", "details"), rows))
    click.echo(conclusion)
