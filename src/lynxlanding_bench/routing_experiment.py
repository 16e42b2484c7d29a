"""Experiment: routing policies on modelled engines."""

import concurrent.futures
import dataclasses

import click

from lynxlanding_bench import result_file, routing_run

POLICIES = ("random", "two_choices", "least_loaded", "prefix_affinity")
LAGS_S = (0.1, 0.5, 2.0)


@click.command("routing-policies")
@click.option("--seed", default=1, show_default=True)
@click.option("--sizes", default="60,2100", show_default=True, help="Numbers of engines.")
@click.option("--workers", default=4, show_default=True, help="Processes that run cases.")
def routing_policies(seed, sizes, workers):
    """Compare the policies with lagging reports, stragglers and lost cache events."""
    cases = []
    for engines in sizes.split(","):
        cases.extend(_cases(int(engines), seed))
    with concurrent.futures.ProcessPoolExecutor(workers) as executor:
        rows = list(executor.map(_run, cases))
    settings = {
        "slots": 8,
        "utilisation": cases[0].utilisation,
        "report_interval_s": routing_run.REPORT_INTERVAL_S,
        "straggler_share": routing_run.STRAGGLER_SHARE,
        "straggler_slowness": routing_run.STRAGGLER_SLOWNESS,
        "lost_event_share": routing_run.LOST_EVENT_SHARE,
    }
    result_file.save("routing-policies", seed, settings, rows)


def _cases(engines, seed):
    # Large cases simulate less time and fewer nodes than would serve so many engines: every node
    # has a view of all engines, and the cost of the reports grows with their product.
    is_large = engines > 500
    base = routing_run.RoutingCase(
        policy="random",
        engines=engines,
        nodes=15 if is_large else 9,
        report_lag_s=0.5,
        warm_up_s=4.0 if is_large else 10.0,
        measure_s=4.0 if is_large else 20.0,
        seed=seed,
    )
    cases = []
    for stragglers in (False, True):
        for lag_s in LAGS_S:
            for name in POLICIES:
                # The scan of all engines for each request takes minutes for each large case.
                if is_large and name == "least_loaded" and stragglers:
                    continue
                case = dataclasses.replace(
                    base, policy=name, report_lag_s=lag_s, stragglers=stragglers
                )
                cases.append(case)
                # Only this policy uses cache events.
                if name == "prefix_affinity":
                    cases.append(dataclasses.replace(case, lost_events=True))
    return cases


def _run(case):
    return routing_run.RoutingRun(case).run()
