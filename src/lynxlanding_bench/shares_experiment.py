"""Experiment: what a small workspace gets beside one that sends ten times its share."""

import concurrent.futures

import click

from lynxlanding_bench import result_file, shares_run

SMALL_FLEET = 9
TRAFFIC_AND_PARTITION = (
    ("even", False),
    ("uneven", False),
    ("moving", False),
    ("uneven", True),
    ("moving", True),
)


@click.command("shares")
@click.option("--seed", default=1, show_default=True)
@click.option("--sizes", default="9,410", show_default=True, help="Numbers of nodes.")
@click.option("--workers", default=4, show_default=True, help="Processes that run cases.")
def shares(seed, sizes, workers):
    """Measure shares on 9 and 410 nodes, with uneven traffic and during a partition."""
    cases = [shares_run.SharesCase(SMALL_FLEET, 400.0, with_shares=False, seed=seed)]
    for size in sizes.split(","):
        nodes = int(size)
        # Many nodes get less than their real load, 51 requests/s each, to bound the time of a run.
        capacity = 400.0 if nodes <= SMALL_FLEET else 2000.0
        for traffic, partition in TRAFFIC_AND_PARTITION:
            # The partition starts 5 s after the warm-up; slices are shared again after 30 s.
            measure_s = 70.0 if partition else 40.0
            cases.append(
                shares_run.SharesCase(
                    nodes, capacity, partition, traffic, measure_s=measure_s, seed=seed
                )
            )
    with concurrent.futures.ProcessPoolExecutor(workers) as executor:
        rows = list(executor.map(_run, cases))
    settings = {
        "small_owed": shares_run.SMALL_OWED,
        "large_owed": shares_run.LARGE_OWED,
        "large_sends_over_owed": 10,
        "window_s": shares_run.WINDOW_S,
        "timeout_s": shares_run.TIMEOUT_S,
    }
    result_file.save("shares", seed, settings, rows)


def _run(case):
    return shares_run.SharesRun(case).run()
