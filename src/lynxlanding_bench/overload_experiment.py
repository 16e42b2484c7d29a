"""Experiment: goodput in an overload."""

import concurrent.futures

import click

from lynxlanding_bench import overload_run, result_file

LOADS = (0.5, 1.0, 2.0, 4.0)


@click.command("overload")
@click.option("--seed", default=1, show_default=True)
@click.option("--workers", default=4, show_default=True, help="Processes that run cases.")
def overload(seed, workers):
    """Measure goodput at multiples of the capacity, with and without admission."""
    cases = []
    for with_admission in (True, False):
        for load in LOADS:
            cases.append(overload_run.OverloadCase(load, with_admission, seed=seed))
    with concurrent.futures.ProcessPoolExecutor(workers) as executor:
        rows = list(executor.map(_run, cases))
    at_capacity = {}
    for row in rows:
        if row["load"] == 1.0:
            at_capacity[row["admission"]] = row["goodput_per_s"]
    for row in rows:
        row["goodput_over_capacity_run"] = row["goodput_per_s"] / at_capacity[row["admission"]]
    settings = {
        "engines": cases[0].engines,
        "nodes": cases[0].nodes,
        "timeout_s": overload_run.TIMEOUT_S,
        "max_retries": overload_run.MAX_RETRIES,
        "report_lag_s": overload_run.REPORT_LAG_S,
        "base_load": cases[0].base_load,
    }
    result_file.save("overload", seed, settings, rows)


def _run(case):
    return overload_run.OverloadRun(case).run()
