"""Command ``idle-cost``: what daemons without requests cost, as separate processes."""

import pathlib
import tempfile
import time

import click
import psutil
import urllib3

from lynxlanding_bench import fleet, processes, result_file

SETTLE_S = 8.0


@click.command("idle-cost")
@click.option("--sizes", default="3,6,9", show_default=True, help="Numbers of daemons, at most 12.")
@click.option("--seconds", default=20.0, show_default=True, help="Measured time.")
def command(sizes, seconds):
    """Measure processor time, memory and store calls of idle daemons."""
    rows = []
    for daemons in (int(size) for size in sizes.split(",")):
        with (
            tempfile.TemporaryDirectory(prefix="lynxlanding-idle-") as directory,
            processes.Processes(pathlib.Path(directory)) as running,
        ):
            rows.append(_measure(running, daemons, seconds))
    result_file.save("idle-cost", 0, {"seconds": seconds}, rows)


def _measure(running, daemons, seconds):
    installation = fleet.Fleet(running, daemons=daemons, engines=1)
    installation.start()
    time.sleep(SETTLE_S)
    observed = [psutil.Process(running.pid(name)) for name in installation.daemon_names]
    pool = urllib3.PoolManager()
    calls = _store_calls(pool, installation)
    used = _processor_time(observed)
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    used = _processor_time(observed) - used
    calls = _store_calls(pool, installation) - calls
    return {
        "daemons": daemons,
        "core per daemon [%]": 100 * used / elapsed / daemons,
        "resident memory max [MB]": max(item.memory_info().rss for item in observed) / 1e6,
        "store calls/s": calls / elapsed,
    }


def _processor_time(observed):
    total = 0.0
    for item in observed:
        times = item.cpu_times()
        total += times.user + times.system
    return total


def _store_calls(pool, installation):
    stats = pool.request("GET", installation.object_api + "/stats").json()
    return float(stats["read"] + stats["write"] + stats["watch"])
