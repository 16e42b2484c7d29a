"""Experiment: cost of one decision of the dispatcher and of one planning step of a domain."""

import random
import time

import click
import numpy

from lynxlanding.dispatch import (
    dispatch_decision,
    dispatcher,
    stall_tracker,
)
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.fleet import registry
from lynxlanding.replicas.tests import simulated_domain
from lynxlanding_bench import result_file

ENGINES = (60, 220, 2100)
DOMAIN_SIZES = (10, 18, 40)
GROUP_SIZE = 4
STEPS = 2000
HEARTBEAT_INTERVAL_S = 1.2


@click.command("dispatch-cost")
@click.option("--seed", default=1, show_default=True)
@click.option("--decisions", default=5000, show_default=True, help="Decisions for each row.")
def command(seed, decisions):
    """Measure decisions about streamed requests, and planning steps without a change."""
    rows = []
    for engines in ENGINES:
        rows.append(_measure_dispatch(engines, decisions, seed))
    for size in DOMAIN_SIZES:
        rows.append(_measure_planning(size, seed))
    result_file.save("dispatch-cost", seed, {"decisions": decisions}, rows)


def _measure_dispatch(engines, decisions, seed):
    random_state = random.Random(seed)
    known = registry.EndpointRegistry(HEARTBEAT_INTERVAL_S)
    made = dispatcher.Dispatcher(
        "a",
        known,
        dispatch_factories.RETRY_LIMITS,
        stall_tracker.StallTracker(),
        dispatch_factories.make_statement_gate(),
        random_state,
    )
    made.use_configuration(dispatch_factories.make_configuration())
    heads = [dispatch_factories.make_head(number) for number in range(engines // GROUP_SIZE)]
    made.apply(known.apply_list(heads, 0.0))
    sent = []
    times = []
    for number in range(decisions):
        begun = time.perf_counter()
        decision = made.choose(dispatch_factories.make_query(), number * 1e-3)
        times.append(time.perf_counter() - begun)
        if isinstance(decision, dispatch_decision.Send):
            sent.append(decision.record.endpoint_id)
        if len(sent) > 3 * len(heads):
            made.load_tracker.end(sent.pop(0))
    return _row("dispatch", engines, times)


def _measure_planning(size, seed):
    world = simulated_domain.SimulatedDomain(size, random.Random(seed))
    planner = simulated_domain.SimulatedPlanner(world)
    needs = simulated_domain.make_fleet_state(large=size / 10, small=size / 5)
    while world.now < 8.0:
        planner.observe()
        for order in planner.act(needs):
            world.deliver_order(order)
        world.advance(0.1)
    views = world.add_missing_members(planner.views, planner.plan)
    times = []
    for _ in range(STEPS):
        begun = time.perf_counter()
        planner.planner.step(planner.plan, world.engine_spec, views, needs, world.now)
        times.append(time.perf_counter() - begun)
    return _row("planning step", size, times)


def _row(job, engines, times):
    p50, p99 = numpy.percentile(times, [50, 99]) * 1e6
    return {
        "job": job,
        "engines": engines,
        "p50_us": float(p50),
        "p99_us": float(p99),
        "repeats": len(times),
    }
