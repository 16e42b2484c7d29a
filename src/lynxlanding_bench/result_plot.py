"""Plots one column of a result file."""

import json
import pathlib

import click
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


@click.command("plot")
@click.argument("result", type=click.Path(exists=True, dir_okay=False))
@click.option("--column", required=True, help="Column with the figure to draw.")
@click.option("--label", "labels", multiple=True, required=True, help="Columns that name a row.")
@click.option("--output", type=click.Path(dir_okay=False), required=True, help="PNG file.")
def plot(result, column, labels, output):
    """Draw COLUMN of the RESULT file as bars, one for each row that has it."""
    document = json.loads(pathlib.Path(result).read_text(encoding="utf-8"))
    names = []
    values = []
    for row in document["rows"]:
        if not isinstance(row.get(column), int | float):
            continue
        names.append(", ".join(str(row.get(label, "")) for label in labels))
        values.append(row[column])
    if not values:
        raise click.ClickException(f"no row of {result} has a number in the column {column!r}")
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.3 * len(values)))
    axes.barh(names, values)
    axes.invert_yaxis()
    axes.set_xlabel(column)
    axes.set_title(f"{document['experiment']}, seed {document['seed']}")
    figure.tight_layout()
    figure.savefig(output)
