"""The planner while data centres are evacuated.

Pattern: engines whose groups get no requests for a time, and demand that goes on elsewhere.
"""

import dataclasses
import random

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import (
    domain_planner,
    engine_order,
    engine_view,
    evacuation_rules,
    group_plan,
    placement,
)
from lynxlanding.replicas.tests import simulated_domain

SPEC = simulated_domain.make_engine_spec()
EVACUATED = frozenset("a")
LOAD_ORDERS = (engine_order.JOIN, engine_order.STAGE)


def make_view(number, data_centre, *, model="small", staged=("large",), membership=None):
    record = simulated_domain.engine_record(f"e{number}", model, staged, membership)
    record = dataclasses.replace(record, data_centre=data_centre)
    return engine_view.EngineView(record, True, False)


def make_group(epoch, numbers, data_centres, views, phase=group_plan.SERVING, model="small"):
    """Return a planned group and add its engines, as members if it serves."""
    members = tuple(f"e{number}" for number in numbers)
    name = group_plan.make_group_name("d0", epoch, model, members)
    for rank, number in enumerate(numbers):
        membership = None
        if phase == group_plan.SERVING:
            state = "ready" if rank else "open"
            membership = group_membership.GroupMembership(name, epoch, rank, state)
        views[f"e{number}"] = make_view(number, data_centres[rank], membership=membership)
    return group_plan.GroupPlan(name, epoch, model, members, phase)


def make_state(evacuated=EVACUATED, **changes):
    state = simulated_domain.make_fleet_state(large=1.0, small=3.0)
    return dataclasses.replace(state, evacuated=evacuated, **changes)


def step(groups, views, state, now=0.0, planner=None):
    plan = group_plan.DomainPlan(9, tuple(groups))
    planner = planner or domain_planner.DomainPlanner("d0")
    return planner.step(plan, SPEC, views, state, now)


def test_no_group_is_formed_with_engines_of_the_data_centre():
    views = {f"e{number}": make_view(number, "a") for number in range(8)}
    assert step([], views, make_state()).plan is None
    assert step([], views, make_state(frozenset())).plan is not None
    for number in (8, 9):
        views[f"e{number}"] = make_view(number, "b")
    plan = step([], views, make_state()).plan
    assert [set(group.members) for group in plan.groups] == [{"e8", "e9"}]


def test_no_load_is_ordered_in_the_data_centre():
    """Guards against weights that engines load when they are about to lose power."""
    views = {}
    groups = [make_group(1, (0, 1), "aa", views)]
    for number in (0, 1):
        record = dataclasses.replace(views[f"e{number}"].record, staged_models=())
        views[f"e{number}"] = engine_view.EngineView(record, True, False)
    for number in range(2, 6):
        views[f"e{number}"] = make_view(number, "a", model=None, staged=())
    orders = step(groups, views, make_state())
    assert orders.plan is None
    assert [item for item in orders.orders if item.kind in LOAD_ORDERS] == []
    assert orders.background_orders == []
    before = step(groups, views, make_state(frozenset()))
    assert before.orders + before.background_orders


def test_standing_groups_of_the_data_centre_are_left_as_they_are():
    """Guards against groups that must form anew when the evacuation is over.

    Scarce models elsewhere must not take their engines, and silence must not dissolve them.
    """
    views = {}
    groups = [make_group(1, (0, 1), "aa", views), make_group(2, (2, 3), "ba", views)]
    views["e1"] = dataclasses.replace(views["e1"], is_silent=True)
    planner = domain_planner.DomainPlanner("d0")
    state = make_state(needed={"large": 5.0, "small": 1.0})
    for now in (0.0, 5.0, 60.0):
        result = step(groups, views, state, now, planner)
        assert result.plan is None
        assert result.orders == []
    retired = step(groups, views, make_state(frozenset())).plan
    assert retired.groups[0].phase == group_plan.RETIRING, "silence counts without an evacuation"


def test_demand_counts_only_groups_that_may_serve():
    """Guards against a model whose groups all seem to stand while none of them may serve."""
    views = {}
    groups = [make_group(1, (0, 1), "aa", views), make_group(2, (2, 3), "ba", views)]
    for number in range(4, 8):
        views[f"e{number}"] = make_view(number, "b", staged=())
    needed = {"large": 0.1, "small": 1.0}
    covered = make_state(frozenset(), needed=needed)
    assert step(groups, views, covered).plan is None
    plan = step(groups, views, make_state(needed=needed)).plan
    assert plan.groups[:2] == tuple(groups)
    assert all(
        set(group.members) <= set(views) - {"e0", "e1", "e2", "e3"} for group in plan.groups[2:]
    )
    assert any(group.model == "small" for group in plan.groups[2:])


def test_other_data_centres_take_over_only_with_engines_that_hold_the_model():
    views = {f"e{number}": make_view(number, "b", model="large", staged=()) for number in (2, 3)}
    groups = [make_group(1, (0, 1), "aa", views)]
    result = step(groups, views, make_state(needed={"large": 0.1, "small": 1.0}))
    assert result.plan is None, "a group of the small model would wait for two loads"


def test_forming_group_that_would_load_in_the_data_centre_is_given_up():
    views = {}
    forming = make_group(1, (0, 1), "ba", views, group_plan.FORMING, model="large")
    assert evacuation_rules.find_problem(forming, views, make_state()) is None
    record = dataclasses.replace(views["e1"].record, staged_models=())
    views["e1"] = engine_view.EngineView(record, True, False)
    assert "e1" in evacuation_rules.find_problem(forming, views, make_state())
    plan = step([forming], views, make_state()).plan
    assert plan.groups[0].phase == group_plan.RETIRING
    loading = make_state(loads_in_progress={"e1": "large"})
    assert evacuation_rules.find_problem(forming, views, loading) is None


def test_groups_of_other_domains_count_only_if_they_may_serve():
    views = {}
    make_group(1, (0, 1), "bb", views)
    make_group(2, (2, 3), "aa", views)
    make_group(3, (4, 5), "ba", views)
    records = [view.record for view in views.values()]
    arguments = (records, SPEC.models, group_plan.model_from_name)
    assert evacuation_rules.count_serving_heads(*arguments, frozenset()) == {"small": 3.0}
    assert evacuation_rules.count_serving_heads(*arguments, EVACUATED) == {"small": 1.0}


def test_simulated_domain_keeps_its_groups_through_evacuations():
    """Guards against orders to standing groups of the data centre in any schedule, 40 seeds.

    Half of the engines are in the data centre that is evacuated again and again.
    """
    for seed in range(40):
        domain = simulated_domain.SimulatedDomain(12, random.Random(seed))
        planner = simulated_domain.SimulatedPlanner(domain)
        normal = simulated_domain.make_fleet_state(large=1.0, small=3.0)
        evacuated = dataclasses.replace(normal, evacuated=EVACUATED)
        for turn in range(90):
            is_evacuated = turn % 30 >= 15
            planner.observe()
            planner.views = _place(planner.views)
            for order in planner.act(evacuated if is_evacuated else normal):
                if is_evacuated and int(order.endpoint_id[1:]) % 2 == 0:
                    assert order.kind not in (engine_order.CLOSE, engine_order.STAGE), seed
                domain.deliver_order(order)
            domain.advance(0.3)
            for group in domain.stored_plan.groups:
                assert not (is_evacuated and turn % 30 > 17) or (
                    group.phase != group_plan.RETIRING or _is_outside(group)
                ), seed
        assert domain.violations == []
        assert domain.opened_groups >= 3, seed


def _place(views):
    placed = {}
    for endpoint_id, view in views.items():
        data_centre = "a" if int(endpoint_id[1:]) % 2 == 0 else "b"
        record = dataclasses.replace(view.record, data_centre=data_centre)
        placed[endpoint_id] = dataclasses.replace(view, record=record)
    return placed


def _is_outside(group):
    return all(int(member[1:]) % 2 for member in group.members)


def test_share_of_a_domain_without_usable_engines_is_harmless():
    state = make_state(domain_share=0.0)
    assert placement.coverage("small", {}, state) == 0.0
    assert step([], {"e0": make_view(0, "a")}, state).plan is None
