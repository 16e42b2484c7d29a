"""Result files of experiments: seed, version, settings and rows."""

import datetime
import importlib.metadata
import json
import pathlib

import click
import tabulate

RESULTS_DIRECTORY = pathlib.Path("results")


def save(experiment, seed, settings, rows, directory=RESULTS_DIRECTORY):
    """Write the rows of an experiment and print them as a table.

    Parameters
    ----------
    experiment : str
        Name of the experiment; also the name of the file.
    seed : int
        Seed that gives the same run again.
    settings : dict
        Settings of the run.
    rows : list of dict
        One measured row each; the keys are column names with their units.
    directory : pathlib.Path
        Directory of the result files.

    Returns
    -------
    pathlib.Path
        Path of the written file.
    """
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{experiment}.json"
    document = {
        "experiment": experiment,
        "seed": seed,
        "version": importlib.metadata.version("lynxlanding"),
        "created_at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        "settings": settings,
        "rows": rows,
    }
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    click.echo(f"{experiment}, seed {seed}, settings {json.dumps(settings)}")
    click.echo(tabulate.tabulate(rows, headers="keys", floatfmt=".4g"))
    return path


@click.command()
@click.argument("earlier", type=click.Path(exists=True, dir_okay=False))
@click.argument("later", type=click.Path(exists=True, dir_okay=False))
def compare(earlier, later):
    """Show the ratio of each figure in LATER to the same figure in EARLIER."""
    old = json.loads(pathlib.Path(earlier).read_text(encoding="utf-8"))
    new = json.loads(pathlib.Path(later).read_text(encoding="utf-8"))
    if old["experiment"] != new["experiment"]:
        raise click.ClickException(
            f"{earlier} is a run of {old['experiment']}, {later} of {new['experiment']}"
        )
    rows = []
    for before, after in zip(old["rows"], new["rows"], strict=False):
        row = {}
        for column, value in after.items():
            earlier_value = before.get(column)
            is_number = isinstance(value, float) and isinstance(earlier_value, float)
            row[column] = round(value / earlier_value, 3) if is_number and earlier_value else value
        rows.append(row)
    click.echo(tabulate.tabulate(rows, headers="keys"))
