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
@click.option("--seed", type=int, default=1)
def command(rate, tokens, duration_s, burst, seed):
    """Compare streams through one node with direct calls to the engines."""
    options = ["--slots", "600", "--queue-limit", "2000"]
    settings = {"rate": rate, "tokens": tokens, "duration_s": duration_s, "burst": burst}
    rows = []
    with (
        tempfile.TemporaryDirectory(prefix="lynxlanding-bench-") as directory,
        processes.Processes(pathlib.Path(directory)) as running,
    ):
        installation = fleet.Fleet(running, daemons=1, engines=ENGINES, engine_options=options)
        installation.start()
        engines = [f"http://{processes.HOST}:{port}" for port in installation.engine_ports]
        for label, urls in (("direct", engines), ("node", [installation.daemon_url(0)])):
            usage = _Usage(running.pid("node-0"))
            outcomes = _run_clients(urls, settings, seed)
            rows.append({"path": label, **_summary(outcomes), **usage.finish()})
    result_file.save("node-load", seed, settings, rows)


class _Usage:
    """Processor and memory use of a process while it is measured."""

    def __init__(self, pid):
        self._process = psutil.Process(pid)
        self._started_at = time.monotonic()
        self._cpu_before = self._cpu_s()
        self._peak_cpu = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample)
        self._thread.start()

    def _cpu_s(self):
        times = self._process.cpu_times()
        return times.user + times.system

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
        return {
            "node_cpu_mean_cores": (self._cpu_s() - self._cpu_before) / elapsed_s,
            "node_cpu_peak_cores": self._peak_cpu,
            "node_rss_mb": self._process.memory_info().rss / 1e6,
        }


def _run_clients(urls, settings, seed):
    clients = []
    for index in range(CLIENTS):
        arguments = [sys.executable, "-m", "lynxlanding_bench.load_client"]
        for url in urls:
            arguments += ["--url", url]
        arguments += ["--rate", str(settings["rate"] / CLIENTS), "--seed", str(seed + index)]
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
        "first_p50_ms": _percentile_ms(first, 50),
        "first_p95_ms": _percentile_ms(first, 95),
        "first_p99_ms": _percentile_ms(first, 99),
        "gap_p50_ms": _percentile_ms(gaps, 50),
        "gap_p95_ms": _percentile_ms(gaps, 95),
        "gap_p99_ms": _percentile_ms(gaps, 99),
    }


def _percentile_ms(values, percent):
    return float(numpy.percentile(values, percent)) * 1000 if values else float("nan")
