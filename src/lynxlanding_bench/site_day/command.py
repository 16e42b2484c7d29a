"""Command that plays a day of the stand-in site."""

import json
import pathlib
import random
import shutil
import time

import click
import tqdm

from lynxlanding_bench import processes
from lynxlanding_bench.site_day import (
    calling_installation,
    day_load,
    day_record,
    day_report,
    evacuation_checker,
    fault_file,
    fault_player,
)

SAMPLE = pathlib.Path(__file__).parent / "files" / "day.yaml"
HEARTBEAT_S = 1.2
# With fewer, the fabric domains have no groups of the small model, which the load asks for.
MIN_ENGINES = 16
# Time for which engines are cold after a start, if they are at all.
COLD_START_S = 3.0
# Time for the requests that are under way when the load ends.
TAIL_S = 1.0


@click.command("site")
@click.argument("faults", type=click.Path(), default=str(SAMPLE))
@click.option("--seed", type=int, default=1, help="Seed of arrivals and of shares of targets.")
@click.option("--nodes", type=click.IntRange(1), default=9)
@click.option("--engines", type=click.IntRange(MIN_ENGINES), default=40)
@click.option("--plain", type=click.IntRange(1), default=20)
@click.option("--rate", type=click.FloatRange(0, min_open=True), default=60.0, help="Requests/s.")
@click.option("--duration-s", type=click.FloatRange(1), default=60.0)
@click.option("--cold-per-s", type=click.FloatRange(0), default=0.0, help="At cold engines.")
@click.option("--output", type=click.Path(file_okay=False), default="results")
def command(faults, seed, nodes, engines, plain, rate, duration_s, cold_per_s, output):
    """Play the FAULTS file against nodes as processes under load; report the rules."""
    node_names = [f"n{number}" for number in range(nodes)]
    targets = make_targets(engines, plain, node_names)
    try:
        read = fault_file.load(faults, targets, random.Random(seed))
    except fault_file.FaultFileError as e:
        raise click.ClickException(str(e)) from e
    directory = pathlib.Path(output)
    logs = directory / f"site-{seed}-logs"
    shutil.rmtree(logs, ignore_errors=True)
    logs.mkdir(parents=True)
    with processes.Processes(logs) as running:
        installation = calling_installation.CallingInstallation(
            running,
            engines,
            plain,
            HEARTBEAT_S,
            node_names,
            has_own_hosts=True,
            site_options=("--cold-per-s", cold_per_s, "--cold-start-s", COLD_START_S),
            evacuate_ms=1000 * evacuation_checker.BOUND_S,
        )
        installation.wait_ready()
        installation.wait_for_small_groups(1)
        installation.restart_nodes()
        record, skipped = play(installation, read, rate, seed, duration_s, cold_per_s)
        paths = [logs / f"{name}.log" for name in node_names]
        report = day_report.summarize(record, day_report.count_refusals(paths))
    report.update(
        file=str(faults), seed=seed, nodes=nodes, endpoints=engines + plain, skipped=skipped
    )
    path = directory / f"site-{seed}.json"
    path.write_text(json.dumps(report, indent=1))
    day_report.plot(record, directory / f"site-{seed}.png")
    _print(report)
    click.echo(f"report, plot and logs: {path.with_suffix('')}")
    if any(report["rules"].values()):
        raise click.ClickException("rules are broken")


def make_targets(engines, plain, node_names):
    """Return the ``Targets`` of a site, whose endpoints are in its zones in turn."""
    names = [f"i-{number:03d}" for number in range(engines + plain)]
    zones = {name: ("a", "b")[number % 2] for number, name in enumerate(names)}
    return fault_file.Targets(zones, names[:engines], node_names)


def play(installation, faults, rate, seed, duration_s, cold_per_s=0.0):
    """Play faults under load.

    Parameters
    ----------
    installation : CallingInstallation
        Site and nodes that serve.
    faults : list of Fault
        Faults of the day.
    rate : float
        Requests a second.
    seed : int
        Seed of the arrivals.
    duration_s : float
        Duration of the load, in seconds.
    cold_per_s : float, optional
        Requests a second that cold engines of the site bear.

    Returns
    -------
    DayRecord, list of str
        The day, and the faults that could not be played.
    """
    player = fault_player.FaultPlayer(installation, faults)
    load = day_load.DayLoad(installation, rate, seed, lambda: player.active_value("crash_part"))
    started_at = time.monotonic()
    load.start()
    player.start()
    with tqdm.tqdm(total=int(duration_s), unit="s", leave=False) as progress:
        while time.monotonic() < started_at + duration_s:
            time.sleep(1.0)
            progress.update(1)
    ended_at = time.monotonic()
    player.finish()
    load.finish()
    time.sleep(TAIL_S)
    seen = installation.control()
    record = day_record.DayRecord(
        tuple(installation.nodes),
        started_at,
        ended_at,
        load.responses,
        [day_record.SiteEvent(*item) for item in seen["history"]],
        player.played,
        [tuple(item) for item in seen["cold_arrivals"]],
        cold_per_s,
    )
    skipped = player.skipped
    if load.late:
        skipped.append(f"{load.late} of {len(load.responses)} requests were sent late")
    return record, skipped


def _print(report):
    for name, problems in report["rules"].items():
        click.echo(f"{name}: {'kept' if not problems else 'BROKEN: ' + '; '.join(problems[:5])}")
    click.echo(f"served: {report['served']} of {report['requests']} requests")
    click.echo(f"worst windows: {report['worst_windows']}")
    click.echo(f"refusals: {report['refusals']}")
    for line in report["skipped"]:
        click.echo(f"not played as asked: {line}")
