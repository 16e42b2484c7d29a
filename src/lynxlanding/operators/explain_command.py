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
def explain(options, request_id, files):
    """Show what the logs in FILES say about REQUEST_ID, and what led to it.

    The lines of all nodes are ordered by their clocks, which may differ.
    """
    lines = []
    for file in files:
        lines.extend(request_timeline.parse(file))
    timeline = request_timeline.build_timeline(lines, request_id)
    if not timeline:
        _cli_support.exit_with_error(
            exit_codes.INVALID,
            f"no line about request {request_id} in {len(files)} files",
            "check the id, and that the files cover the time of the request",
        )
    summary = request_timeline.summarize_outcome(timeline, request_id)
    if options["output"] == "json":
        rows = []
        for line in timeline:
            rows.append(
                {
                    "at": line.timestamp,
                    "node": line.node,
                    "event": line.event,
                    "fields": line.fields,
                }
            )
        click.echo(json.dumps({"lines": rows, "conclusion": summary}, indent=1))
        return
    rows = []
    for line in timeline:
        time_of_day = (
            time.strftime("%H:%M:%S", time.gmtime(line.timestamp))
            + f".{int(line.timestamp % 1 * 1000):03d}"
        )
        rows.append((time_of_day, line.node, line.event, line.format_fields()))
    click.echo(formatting.format_table(("time", "node", "event", "details"), rows))
    click.echo(summary)
