"""Experiment: what one node adds to streams, at its share of the design size."""

import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import click
import numpy
import psutil

from lynxlanding_bench import caller, fleet, processes, result_file

CLIENTS = 4
ENGINES = 4
WARM_UP_S = 1.0


@click.command("node-load")
@click.option("--rate", type=float, default=51.0, help="Requests a second.")
@click.option("--tokens", type=int, default=285, help="Tokens a stream.")
@click.option("--duration-s", type=float, default=15.0, help="Duration of the arrivals.")
@click.option("--burst", type=int, default=0, help="Send this many streams at once instead.")
@click.option("--daemons", type=int, default=1, help="Daemons of the VM that share the load.")
@click.option("--seed", type=int, default=1)
def command(rate, tokens, duration_s, burst, daemons, seed):
    """Compare streams through the daemons of one VM with direct calls to the engines."""
    options = ["--slots", "600", "--queue-limit", "2000"]
    settings = {
        "rate": rate,
        "tokens": tokens,
        "duration_s": duration_s,
        "burst": burst,
        "daemons": daemons,
    }
    rows = []
    with (
        tempfile.TemporaryDirectory(prefix="lynxlanding-bench-") as directory,
        processes.Processes(pathlib.Path(directory)) as running,
    ):
        installation = fleet.Fleet(
            running, daemons=daemons, engines=ENGINES, engine_options=options
        )
        installation.start()
        engines = [f"http://{processes.HOST}:{port}" for port in installation.engine_ports]
        nodes = [installation.daemon_url(index) for index in range(daemons)]
        for label, urls in (("direct", engines), ("node", nodes)):
            usage = _Usage([running.pid(name) for name in installation.daemon_names])
            outcomes = _run_clients(urls, settings, seed, label)
            row = {"path": label, **_summary(outcomes), **usage.finish()}
            # Unlike the latencies, this figure hardly depends on what else the machine is doing.
            row["node_cpu_us_per_token"] = row["node_cpu_s"] / row["tokens"] * 1e6
            rows.append(row)
    result_file.save("node-load", seed, settings, rows)


class _Usage:
    """Processor and memory use of processes while they are measured."""

    def __init__(self, pids):
        self._processes = [psutil.Process(pid) for pid in pids]
        self._started_at = time.monotonic()
        self._cpu_before = self._cpu_s()
        self._peak_cpu = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample)
        self._thread.start()

    def _cpu_s(self):
        total = 0.0
        for process in self._processes:
            times = process.cpu_times()
            total += times.user + times.system
        return total

    def _sample(self):
        before = self._cpu_s()
        while not self._stop.wait(1.0):
            now = self._cpu_s()
            self._peak_cpu = max(self._peak_cpu, now - before)
            before = now

    def finish(self):
        """Return the columns of the result row."""
        self._stop.set()
        self._thread.join()
        elapsed_s = time.monotonic() - self._started_at
        cpu_s = self._cpu_s() - self._cpu_before
        return {
            "node_cpu_s": cpu_s,
            "node_cpu_mean_cores": cpu_s / elapsed_s,
            "node_cpu_peak_cores": self._peak_cpu,
            "node_rss_mb": sum(item.memory_info().rss for item in self._processes) / 1e6,
        }


def _run_clients(urls, settings, seed, label):
    clients = []
    for index in range(CLIENTS):
        arguments = [sys.executable, "-m", "lynxlanding_bench.load_client"]
        for url in urls:
            arguments += ["--url", url]
        arguments += ["--rate", str(settings["rate"] / CLIENTS), "--seed", str(seed + index)]
        # Prompts of the other path would be in the engines' caches already.
        arguments += ["--label", label]
        arguments += ["--duration-s", str(settings["duration_s"])]
        arguments += ["--tokens", str(settings["tokens"])]
        if settings["burst"]:
            arguments += ["--count", str(settings["burst"] // CLIENTS)]
        clients.append(subprocess.Popen(arguments, stdout=subprocess.PIPE))
    outcomes = []
    for client in clients:
        output, _ = client.communicate()
        outcomes.extend(json.loads(output))
    return outcomes


def _summary(outcomes):
    first = [item["first_token_s"] for item in outcomes if item["first_token_s"] is not None]
    gaps = [gap for item in outcomes for gap in item["gaps_s"]]
    whole = sum(item["result"] == caller.WHOLE for item in outcomes)
    return {
        "streams": len(outcomes),
        "whole": whole,
        "tokens": len(first) + len(gaps),
        "first_p50_ms": _percentile_ms(first, 50),
        "first_p95_ms": _percentile_ms(first, 95),
        "first_p99_ms": _percentile_ms(first, 99),
        "gap_p50_ms": _percentile_ms(gaps, 50),
        "gap_p95_ms": _percentile_ms(gaps, 95),
        "gap_p99_ms": _percentile_ms(gaps, 99),
    }


def _percentile_ms(values, percent):
    return float(numpy.percentile(values, percent)) * 1000 if values else float("nan")
