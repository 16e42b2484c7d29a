"""Experiment: cost of one routing decision."""

import time

import click
import numpy

from lynxlanding.routing import (
    attempt_result,
    endpoint_member,
    endpoint_view,
    load_report,
    policy,
    policy_registry,
)
from lynxlanding_bench import result_file

SERVICE = "model"
SIZES = (60, 600, 2100)
PREFIXES_PER_ENDPOINT = 10


@click.command("routing-cost")
@click.option("--seed", default=1, show_default=True)
@click.option("--decisions", default=20_000, show_default=True, help="Decisions for each row.")
def routing_cost(seed, decisions):
    """Measure a decision with its count, as the routing actor makes it for each request."""
    rows = []
    smallest = {}
    for name in sorted(policy_registry.POLICY_BY_NAME):
        for size in SIZES:
            # The scanning baseline is only measured often enough to see its growth.
            count = decisions // 20 if name == "least_loaded" else decisions
            row = _measure(name, size, count, seed)
            smallest.setdefault(name, row["p50_us"])
            row["p50_over_smallest"] = row["p50_us"] / smallest[name]
            rows.append(row)
    result_file.save("routing-cost", seed, {"decisions": decisions}, rows)


def _measure(name, size, count, seed):
    random_state = numpy.random.default_rng(seed)
    view = endpoint_view.EndpointView()
    view.set_node_count(9)
    addresses = [f"10.0.{number // 250}.{number % 250}:8000" for number in range(size)]
    view.set_members(SERVICE, [endpoint_member.EndpointMember(a) for a in addresses], 0.0)
    for address in addresses:
        running = int(random_state.integers(8))
        view.apply_load(load_report.LoadReport(address, "i", 8, running, 0, 1.0), 1.0)
    chosen_policy = policy_registry.create(name)
    keys = random_state.integers(PREFIXES_PER_ENDPOINT * size, size=count).tolist()
    outcome = attempt_result.AttemptResult(attempt_result.SUCCEEDED, 0.1)
    tickets = []
    times = []
    for number, key in enumerate(keys):
        now = 1.0 + number * 1e-4
        request = policy.RouteRequest(f"p{key}")
        begun = time.perf_counter()
        view.advance(now)
        state = chosen_policy.choose(view.pool(SERVICE), request, now, random_state)
        tickets.append(view.begin_request(state.address, now))
        times.append(time.perf_counter() - begun)
        if len(tickets) > size:
            view.end_request(tickets.pop(0), outcome, now)
    p50, p99 = numpy.percentile(times, [50, 99]) * 1e6
    return {
        "policy": name,
        "endpoints": size,
        "p50_us": float(p50),
        "p99_us": float(p99),
        "decisions": count,
    }
