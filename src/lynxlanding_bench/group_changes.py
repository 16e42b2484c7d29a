"""Experiments with separate processes: recovery of a group, and drains of its endpoint."""

import collections
import contextlib
import pathlib
import tempfile
import time

import click
import numpy as np

from lynxlanding_bench import caller, group_fleet, processes, request_load, result_file

LOAD_S = 1.0
DETECTION_S = 3.0
OBSERVED_S = 9.0
WARM_UP_S = 2.0


@click.command("group-recovery")
@click.option("--seed", type=int, default=1)
@click.option("--runs", type=int, default=5)
def group_recovery(seed, runs):
    """Measure the time until a group is back after the loss of one VM with a spare."""
    random = np.random.default_rng(seed)
    rows = []
    for run in range(runs):
        with _installation(vms=4, group_vms=3, groups=1) as (running, installation):
            groups = installation.wait_for_groups()
            # With one group, every request shows whether it serves.
            (name,) = groups
            lost = groups[name]["vms"][int(random.integers(3))]
            with request_load.RequestLoad(installation.callers()) as load:
                time.sleep(WARM_UP_S + float(random.random()))
                killed_at = time.time()
                running.kill(lost)
                installation.wait_for_groups(epoch=groups[name]["epoch"] + 1)
                time.sleep(3.0)
            rows.append(_recovery_row(run, installation, name, groups[name], killed_at, load))
    result_file.save("group-recovery", seed, {"load_s": LOAD_S, "detection_s": DETECTION_S}, rows)


@click.command("drain-delay")
@click.option("--seed", type=int, default=1)
@click.option("--runs", type=int, default=3)
def drain_delay(seed, runs):
    """Measure the time until the last new request reaches a leaving endpoint."""
    rows = []
    for source in ("vm list", "own report", "drains object"):
        for is_store_up in (True, False):
            if source == "drains object" and not is_store_up:
                # No change is accepted without the store.
                continue
            for run in range(runs):
                rows.append(_drain_once(source, is_store_up, run))
    result_file.save("drain-delay", seed, {"observed_s": OBSERVED_S}, rows)


def _recovery_row(run, installation, name, group, killed_at, load):
    last_old = 0.0
    first_new = float("inf")
    for record in installation.read_history():
        if record["event"] != "generate" or record["group"] != name:
            continue
        if record["epoch"] == group["epoch"]:
            last_old = max(last_old, record["time"])
        else:
            first_new = min(first_new, record["time"])
    recovery_s = first_new - killed_at
    return {
        "run": run,
        "last request to incomplete group s": max(0.0, last_old - killed_at),
        "group back s": recovery_s,
        "group back / (detection + load)": recovery_s / (DETECTION_S + LOAD_S),
        **_results(load),
    }


def _drain_once(source, is_store_up, run):
    with _installation(vms=5, group_vms=2, groups=2) as (_, installation):
        groups = installation.wait_for_groups()
        group = groups[sorted(groups)[0]]
        addresses = {vm["name"]: vm["address"] for vm in installation.vms()}
        leader = addresses[group["leader"]]
        with request_load.RequestLoad(installation.callers()) as load:
            time.sleep(WARM_UP_S)
            if not is_store_up:
                installation.set_store_faults(unavailable=True)
                time.sleep(1.0)
            left_at = time.time()
            if source == "vm list":
                installation.replace_vm_list(installation.vms(leaving=[group["leader"]]))
            elif source == "own report":
                installation.order(leader, {"order": "drain", "fencing_number": 10**6})
            else:
                drains = {"drains/leader": {"address": leader, "reason": "experiment"}}
                installation.commit(drains)
            time.sleep(OBSERVED_S)
        last = left_at
        for record in installation.read_history():
            # The engine that drains by itself refuses; its refusals are not recorded as runs.
            if record["event"] == "generate" and record["source"].endswith(leader.split(":")[1]):
                last = max(last, record["time"])
        return {
            "source": source,
            "store": "available" if is_store_up else "unavailable",
            "run": run,
            "last new request s": last - left_at,
            **_results(load),
        }


@contextlib.contextmanager
def _installation(**numbers):
    """Start a ``GroupFleet`` whose groups serve, and end it."""
    with (
        tempfile.TemporaryDirectory(prefix="lynxlanding-groups-") as directory,
        processes.Processes(pathlib.Path(directory)) as running,
    ):
        options = ["--load-ms", int(LOAD_S * 1000)]
        installation = group_fleet.GroupFleet(running, engine_options=options, **numbers)
        installation.start()
        installation.wait_for_groups()
        for client in installation.callers():
            while client.stream("probe", 2).result != caller.WHOLE:
                time.sleep(0.1)
        yield running, installation


def _results(load):
    counts = collections.Counter(result for _, result in load.seen)
    return {name: counts[name] for name in (caller.WHOLE, caller.REFUSED, caller.BROKEN)}
