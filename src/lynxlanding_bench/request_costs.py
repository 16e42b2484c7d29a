"""Experiment ``requests``: claims, retries, hedging and the cost of decisions."""

import click

from lynxlanding_bench import claim_costs, decision_costs, hedging, result_file, retry_costs

FAILURE_RATES = (0.01, 0.05, 0.1, 0.2, 0.5, 0.9)
# Offered rate as a share of a third of the store's write rate, since each keyed request writes
# three times.
OFFERED_SHARES = (0.4, 0.8, 0.95, 1.05, 1.2, 1.6)


@click.command("requests")
@click.option("--seed", type=int, default=1)
@click.option("--requests", type=int, default=20_000, help="Requests of each virtual run.")
@click.option("--duration-s", type=float, default=6.0, help="Time of each offered rate.")
@click.option(
    "--writes-per-s",
    type=float,
    # Low, so that the limit is the store's and not that of a busy machine; it scales.
    default=60.0,
    help="Write rate of the store.",
)
def command(seed, requests, duration_s, writes_per_s):
    """Measure claims, retries, hedging and the cost of one decision."""
    settings = {"requests": requests, "duration_s": duration_s, "writes_per_s": writes_per_s}
    result_file.save("requests-store-calls", seed, settings, claim_costs.count_calls(seed))
    rates = [share * writes_per_s / claim_costs.WRITES_PER_REQUEST for share in OFFERED_SHARES]
    rows = claim_costs.find_limit(rates, duration_s, writes_per_s, seed)
    result_file.save("requests-claim-rate", seed, settings, rows)
    rows = retry_costs.measure(FAILURE_RATES, requests, seed)
    result_file.save("requests-retries", seed, settings, rows)
    result_file.save("requests-hedging", seed, settings, hedging.compare(requests, seed))
    result_file.save("requests-decisions", seed, settings, decision_costs.measure(requests))
