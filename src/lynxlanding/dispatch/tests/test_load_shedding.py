import collections
import dataclasses
import random

from lynxlanding.dispatch import cost_model, load_shedding
from lynxlanding.dispatch.tests import dispatch_factories, fleet_simulation
from lynxlanding.replicas.tests import simulated_domain

MEAN_WORK = cost_model.Work(979, 154)
LARGE_WORK = cost_model.Work(8 * 979, 8 * 154)


def make_load(demand=2.0, mean_load=4.0, load=4.0, predicted_s=0.2):
    """Return the load of four groups with 9 slots each."""
    engine = simulated_domain.make_engine_spec()
    return load_shedding.ModelLoad(
        engine, engine.models["small"], mean_load, load, predicted_s, 4, demand
    )


def make_query(priority=0, work=MEAN_WORK, time_left_s=6.0):
    return dataclasses.replace(
        dispatch_factories.make_query(), priority=priority, work=work, time_left_s=time_left_s
    )


def make_shedding(seed=1, groups_by_priority=None):
    shedding = load_shedding.LoadShedding(random.Random(seed))
    for priority, group_s in (groups_by_priority or {0: 1.0, 1: 1.0}).items():
        shedding.record_request("model", "small", priority, group_s, 0.0)
        shedding.decide(make_query(priority), make_load(), 0.0)
    return shedding


def count_shed(shedding, query, load, tries=400):
    return sum(shedding.decide(query, load, 0.1) is not None for _ in range(tries)) / tries


def test_nothing_is_refused_while_there_is_capacity():
    """Guards against refusals in calm."""
    shedding = make_shedding()
    assert count_shed(shedding, make_query(0), make_load()) == 0
    assert count_shed(shedding, make_query(1), make_load()) == 0


def test_less_urgent_requests_are_refused_first():
    """Guards against urgent callers that wait behind others with a longer target latency."""
    shedding = make_shedding()
    short = make_load(demand=6.0)
    assert count_shed(shedding, make_query(0), short) == 0
    assert count_shed(shedding, make_query(1), short) > 0.7


def test_the_less_urgent_use_all_groups_if_they_are_alone():
    """Guards against capacity kept free for requests that do not come."""
    shedding = make_shedding(groups_by_priority={1: 1.0})
    assert count_shed(shedding, make_query(1), make_load(demand=3.6)) == 0


def test_nodes_refuse_the_same_fraction():
    """Guards against nodes of which some refuse a priority while others accept it."""
    short = make_load(demand=4.5)
    fractions = [count_shed(make_shedding(seed), make_query(1), short) for seed in range(5)]
    assert max(fractions) - min(fractions) < 0.15


def test_large_requests_are_refused_more_often_but_do_not_starve():
    """Guards against large requests that never get a turn within their priority."""
    shedding = make_shedding()
    short = make_load(demand=4.5)
    mean = count_shed(shedding, make_query(1), short)
    large = count_shed(shedding, make_query(1, LARGE_WORK), short)
    assert mean < large < 0.9


def test_returning_callers_are_preferred():
    """Guards against callers that are refused until their deadline while new ones are served."""
    shedding = make_shedding()
    short = make_load(demand=4.5)
    new = count_shed(shedding, make_query(1), short)
    assert count_shed(shedding, make_query(1, time_left_s=4.0), short) < new
    waiting = make_load(load=13.0)
    assert count_shed(shedding, make_query(0), waiting) == 1
    assert count_shed(shedding, make_query(0, time_left_s=5.5), waiting) == 0


def test_request_that_cannot_be_answered_in_time_is_refused_at_once():
    """Guards against requests that are held until their deadline."""
    shed = make_shedding().decide(make_query(time_left_s=1.0), make_load(predicted_s=1.2), 0.1)
    assert shed.reason == load_shedding.HOPELESS


def test_retry_after_leaves_time_for_a_retry():
    """Guards against callers that are told to come back when it is too late."""
    dispatcher, _ = dispatch_factories.make_dispatcher([dispatch_factories.make_head(0)])
    dispatcher.use_node_count(60)
    refusals = collections.Counter()
    for number in range(200):
        query = make_query(time_left_s=1.0 + number % 5)
        decision = dispatcher.choose(query, number * 0.001)
        if hasattr(decision, "reason"):
            refusals[decision.reason] += 1
            assert 0 < decision.retry_after_s <= query.time_left_s / 3
            assert decision.inputs["heads"] == 1
    assert refusals.total() > 100


def make_mixed_fleet(**options):
    """Return a fleet in which a less urgent class exceeds what the urgent one leaves."""
    return fleet_simulation.Fleet(
        62,
        {"small": (45, 0.6)},
        [
            fleet_simulation.RequestClass("small", 320, 674, 168, 0.253, 0),
            fleet_simulation.RequestClass("small", 120, 1420, 300, 1.0, 1),
        ],
        **options,
    )


def test_most_urgent_requests_are_served_in_a_shortage():
    """Pattern: 1.2 times the capacity, of which less urgent requests are two fifths.

    Guards against the rule that admitted whatever is predicted to be late by less than 2.2 times
    its target: it served 61 of 100 urgent and all of the less urgent requests.
    """
    measured = measure_briefly(make_mixed_fleet())
    ideal = measure_briefly(make_mixed_fleet(is_ideal=True))
    assert measured.served[0] >= measured.served[1] - 0.05
    assert measured.served[0] > 0.97
    assert measured.on_time[0] >= ideal.on_time[0] - 0.05
    assert measured.rejected < 0.01


def measure_briefly(fleet):
    """Measure only as long as CI can wait."""
    return fleet_simulation.measure(fleet, warm_up_s=3.0, measured_s=3.0, follow_s=4.5)
