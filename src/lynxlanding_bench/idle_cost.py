"""Command ``idle-cost``: what daemons without requests cost, as separate processes."""

import pathlib
import tempfile
import time

import click
import psutil
import urllib3

from lynxlanding_bench import fleet, group_fleet, processes, result_file

SETTLE_S = 8.0
# Each VM is one process.
MAX_VMS = 60
# Groups of 3 VMs use four fifths of the VMs; the rest are spares.
GROUP_VMS = 3


@click.command("idle-cost")
@click.option("--sizes", default="3,6,9", show_default=True, help="Numbers of daemons, at most 12.")
@click.option("--seconds", default=20.0, show_default=True, help="Measured time.")
@click.option("--vms", default=0, show_default=True, help="VMs to probe, at most 60; 0: none.")
def command(sizes, seconds, vms):
    """Measure processor time, memory and store calls of idle daemons."""
    if not 0 <= vms <= MAX_VMS:
        raise click.BadParameter(f"vms must be in [0, {MAX_VMS}], got {vms}")
    rows = []
    for daemons in (int(size) for size in sizes.split(",")):
        with (
            tempfile.TemporaryDirectory(prefix="lynxlanding-idle-") as directory,
            processes.Processes(pathlib.Path(directory)) as running,
        ):
            rows.append(_measure(running, daemons, seconds, vms))
    result_file.save("idle-cost", 0, {"seconds": seconds, "vms": vms}, rows)


def _measure(running, daemons, seconds, vms):
    if vms:
        groups = vms * 4 // 5 // GROUP_VMS
        installation = group_fleet.GroupFleet(
            running, vms=vms, group_vms=GROUP_VMS, groups=groups, daemons=daemons
        )
    else:
        installation = fleet.Fleet(running, daemons=daemons, engines=1)
    installation.start()
    if vms:
        installation.wait_for_groups(timeout_s=60.0)
    time.sleep(SETTLE_S)
    observed = [psutil.Process(running.pid(f"node-{index}")) for index in range(daemons)]
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
        "VMs": vms,
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
