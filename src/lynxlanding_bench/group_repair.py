"""Experiment: repair policies over a seeded month of failures."""

import concurrent.futures

import click
import numpy as np

from lynxlanding.groups import fixed_wait_policy, return_model, weighted_policy
from lynxlanding_bench import repair_month, result_file

DAY_S = 86400.0
HOUR_S = 3600.0
DESIGN_VMS = 8400
FAILURES_PER_DAY = 24.0
REPLACEMENTS_PER_DAY = 450.0
# Of the 450 daily restarts or replacements: short pauses that keep the engine's state, restarts
# without it, and announced replacements. The design page gives only the sum.
SHARES = {"pause": 0.2, "restart": 0.5, "replacement": 0.3}
MEAN_DURATION_S = {"pause": 20.0, "restart": 90.0, "replacement": 300.0, "failure": 4 * HOUR_S}
RACK_LOSS_S = 2 * HOUR_S
WEIGHTS = {"pwani": (3.0, 1.0), "konya": (1.0, 3.0)}
WORKERS = 4

# Domains, groups of a domain, and spare VMs of a domain. The policies differ only where spares run
# out, so each size is also run without them.
SIZES = {
    "today, 1 spare": (3, 5, 1),
    "today, no spare": (3, 5, 0),
    "design, 1 spare": (140, 15, 1),
    "design, no spare": (140, 15, 0),
}
ACCELERATORS = 2


@click.command("group-repair")
@click.option("--seed", type=int, default=1)
@click.option("--days", type=float, default=30.0)
@click.option("--load-s", type=float, default=60.0)
@click.option("--stranded-bound-s", type=float, default=300.0)
@click.option("--size", "sizes", type=click.Choice(list(SIZES)), multiple=True, default=SIZES)
def group_repair(seed, days, load_s, stranded_bound_s, sizes):
    """Compare repair policies by group downtime and stranded accelerators."""
    rows = []
    for size in sizes:
        events = make_events(seed, size, days)
        totals = {}
        for policy in make_policies(load_s):
            totals[policy] = _run_policy(policy, size, events, days, load_s, stranded_bound_s)
        rows.extend(_rows(size, totals))
    settings = {
        "days": days,
        "load_s": load_s,
        "stranded_bound_s": stranded_bound_s,
        "detection_s": repair_month.DETECTION_S,
        "shares": SHARES,
        "mean_duration_s": MEAN_DURATION_S,
        "rack_loss_s": RACK_LOSS_S,
        "sizes": SIZES,
        "weights": WEIGHTS,
    }
    result_file.save("group-repair", seed, settings, rows)


def make_policies(load_s):
    """Return the policies by name."""
    pauses = REPLACEMENTS_PER_DAY * SHARES["pause"]
    losses = pauses + REPLACEMENTS_PER_DAY * SHARES["restart"] + FAILURES_PER_DAY
    model = return_model.ReturnModel(pauses / losses, MEAN_DURATION_S["pause"], load_s)
    return {
        "free at once": fixed_wait_policy.FixedWaitPolicy(0.0),
        "wait 60 s": fixed_wait_policy.FixedWaitPolicy(60.0),
        "wait to bound": fixed_wait_policy.FixedWaitPolicy(float("inf")),
        "weighted pwani": weighted_policy.WeightedPolicy(*WEIGHTS["pwani"], model),
        "weighted konya": weighted_policy.WeightedPolicy(*WEIGHTS["konya"], model),
    }


def make_events(seed, size, days):
    """Return the events of each domain, sorted by time; the same for every policy."""
    random = np.random.default_rng(seed)
    domains, groups, spares = SIZES[size]
    vms = groups * repair_month.GROUP_VMS + spares
    # The rates hold for the design size; today's fleet sees its share of them.
    scale = domains * vms / DESIGN_VMS
    events = [[] for _ in range(domains)]
    rates = {"failure": FAILURES_PER_DAY}
    for kind, share in SHARES.items():
        rates[kind] = REPLACEMENTS_PER_DAY * share
    for kind, per_day in rates.items():
        for _ in range(random.poisson(per_day * scale * days)):
            at = float(random.uniform(0.0, days * DAY_S))
            duration = float(random.exponential(MEAN_DURATION_S[kind]))
            where = int(random.integers(domains))
            events[where].append((at, kind, int(random.integers(vms)), duration))
    # A rack a month, whatever the size of the fleet.
    rack = int(random.integers(domains))
    at = float(random.uniform(0.0, days * DAY_S))
    for index in range(vms):
        events[rack].append((at, "failure", index, RACK_LOSS_S))
    return [sorted(domain_events) for domain_events in events]


def _run_policy(policy, size, events, days, load_s, stranded_bound_s):
    totals = np.zeros(3)
    longest = 0.0
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        calls = []
        for domain_events in events:
            arguments = (policy, size, domain_events, days, load_s, stranded_bound_s)
            calls.append(pool.submit(_run_domain, *arguments))
        for call in calls:
            downtime, stranded, free, longest_here = call.result()
            totals += (downtime, stranded, free)
            longest = max(longest, longest_here)
    return (*totals.tolist(), longest)


def _run_domain(policy, size, events, days, load_s, stranded_bound_s):
    _, groups, spares = SIZES[size]
    month = repair_month.RepairMonth(
        make_policies(load_s)[policy],
        groups * repair_month.GROUP_VMS + spares,
        groups,
        ACCELERATORS,
        load_s,
        stranded_bound_s,
    )
    month.run(events, days * DAY_S)
    return (
        month.group_downtime_s,
        month.stranded_accelerator_s,
        month.free_accelerator_s,
        month.longest_stranded_s,
    )


def _rows(size, totals):
    group_accelerators = ACCELERATORS * repair_month.GROUP_VMS
    baseline = totals["free at once"]
    rows = []
    for policy, (downtime_s, stranded_s, free_s, longest_s) in totals.items():
        row = {
            "size": size,
            "policy": policy,
            "group downtime h": downtime_s / HOUR_S,
            "stranded accelerator h": stranded_s / HOUR_S,
            "free accelerator h": free_s / HOUR_S,
            "longest wait s": longest_s,
        }
        for user, weights in WEIGHTS.items():
            cost = _cost(weights, downtime_s, stranded_s, group_accelerators)
            reference = _cost(weights, baseline[0], baseline[1], group_accelerators)
            row[f"cost {user} / free at once"] = cost / reference
        rows.append(row)
    return rows


def _cost(weights, downtime_s, stranded_s, group_accelerators):
    return weights[0] * downtime_s + weights[1] * stranded_s / group_accelerators
