"""Command ``lynx-bench scenarios``."""

import pathlib
import sys
import tempfile

import click

from lynxlanding_bench import result_file
from lynxlanding_bench.scenario import parsing, runner

FILES = pathlib.Path(__file__).with_name("files")


def names():
    """Return the names of the scenario files."""
    return sorted(path.stem for path in FILES.glob("*.scenario"))


def load(name):
    """Return a parsed scenario of this package."""
    return parsing.parse((FILES / f"{name}.scenario").read_text(encoding="utf-8"))


@click.command()
@click.argument("selected", nargs=-1, metavar="[NAME]...")
@click.option("--repeat", default=1, type=click.IntRange(1, 100), help="Runs of each scenario.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep histories and logs here.")
def scenarios(selected, repeat, keep):
    """Run scenarios (all, or the named ones) and check their histories."""
    known = names()
    for name in selected:
        if name not in known:
            raise click.UsageError(f"no scenario {name!r}; expected one of {', '.join(known)}")
    rows = []
    failed = False
    for name in selected or known:
        scenario = load(name)
        for number in range(repeat):
            outcome = _run_in_directory(scenario, keep, f"{name}-{number}")
            failed = failed or not outcome.passed
            rows.append(_row(name, number, outcome))
            for failure in outcome.failures:
                click.echo(f"{name}: FAILED: {failure}")
            for found in outcome.violations[:10]:
                click.echo(f"{name}: {found.kind} {found.subject}: {found.explanation}")
    result_file.save("scenarios", 0, {"repeat": repeat}, rows)
    sys.exit(1 if failed else 0)


def _run_in_directory(scenario, keep, name):
    if keep is None:
        with tempfile.TemporaryDirectory(prefix="lynxlanding-scenario-") as directory:
            return runner.run(scenario, directory)
    directory = pathlib.Path(keep) / name
    directory.mkdir(parents=True, exist_ok=False)
    return runner.run(scenario, directory)


def _row(name, number, outcome):
    return {
        "scenario": name,
        "run": number,
        "passed": outcome.passed,
        "violations": len(outcome.violations),
        "failures": len(outcome.failures),
        **outcome.counts,
        "duration_s": outcome.duration_s,
    }
