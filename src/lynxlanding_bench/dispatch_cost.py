"""Experiment: cost of one decision of the dispatcher and of one planning step of a domain."""

import random
import time

import click
import numpy

from lynxlanding.dispatch import choice, dispatcher, stall_board
from lynxlanding.dispatch.tests import dispatch_world
from lynxlanding.fleet import registry
from lynxlanding.replicas.tests import plan_world
from lynxlanding_bench import result_file

ENGINES = (60, 220, 2100)
DOMAIN_SIZES = (10, 18, 40)
GROUP_SIZE = 4
STEPS = 2000


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
    known = registry.EndpointRegistry()
    made = dispatcher.Dispatcher(
        "a", known, dispatch_world.RETRY_LIMITS, stall_board.StallBoard(), random_state
    )
    made.use_configuration(dispatch_world.configuration())
    heads = [dispatch_world.head(number) for number in range(engines // GROUP_SIZE)]
    made.apply(known.apply_list(heads, 0.0))
    sent = []
    times = []
    for number in range(decisions):
        begun = time.perf_counter()
        decision = made.choose(dispatch_world.question(), number * 1e-3)
        times.append(time.perf_counter() - begun)
        if isinstance(decision, choice.Send):
            sent.append(decision.record.endpoint_id)
        if len(sent) > 3 * len(heads):
            made.load.end(sent.pop(0))
    return _row("dispatch", engines, times)


def _measure_planning(size, seed):
    world = plan_world.World(size, random.Random(seed))
    planner = plan_world.Planner(world)
    needs = plan_world.counts(large=size / 10, small=size / 5)
    while world.now < 8.0:
        planner.look()
        for order in planner.act(needs):
            world.order(order)
        world.advance(0.1)
    views = world.with_planned(planner.views, planner.plan)
    times = []
    for _ in range(STEPS):
        begun = time.perf_counter()
        planner.planner.step(planner.plan, world.spec, views, needs, world.now)
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
