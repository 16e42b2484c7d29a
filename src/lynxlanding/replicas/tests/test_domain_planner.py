import dataclasses
import random

import pytest

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import domain_planner, engine_order, engine_view, group_plan, placement
from lynxlanding.replicas.tests import simulated_domain

GROUP = group_plan.GroupPlan("d0.1", 1, "small", ("e0", "e1"), group_plan.SERVING)


def view(number, rank, state, is_present=True, is_silent=False):
    membership = group_membership.GroupMembership("d0.1", 1, rank, state)
    record = simulated_domain.engine_record(f"e{number}", "small", ("large",), membership)
    return engine_view.EngineView(record, is_present, is_silent)


def step(plan, views, fleet_state=None):
    planner = domain_planner.DomainPlanner("d0")
    fleet_state = fleet_state or simulated_domain.make_fleet_state(large=1, small=1)
    return planner.step(plan, simulated_domain.make_engine_spec(), views, fleet_state, 0.0)


def test_a_group_with_a_silent_member_is_retired():
    plan = group_plan.DomainPlan(2, (GROUP,))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready", is_silent=True)})
    assert result.plan.groups[0].phase == group_plan.RETIRING
    assert result.orders == []


def test_reachable_members_of_an_incomplete_group_leave_immediately():
    """Guards against waiting for the requests of a head that has lost a member."""
    plan = group_plan.DomainPlan(2, (GROUP.with_phase(group_plan.RETIRING),))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready", is_silent=True)})
    assert [(item.kind, item.endpoint_id) for item in result.orders] == [(engine_order.LEAVE, "e0")]


def test_a_member_is_not_used_before_it_has_left():
    """Guards against a VM in two groups when the old head is unreachable but still open."""
    plan = group_plan.DomainPlan(2, (GROUP.with_phase(group_plan.RETIRING),))
    views = {
        "e0": engine_view.EngineView(view(0, 0, "open").record, False, False),
        "e1": view(1, 1, "ready"),
        "e2": engine_view.EngineView(
            simulated_domain.engine_record("e2", "small", ("large",)), True, False
        ),
    }
    result = step(plan, views, simulated_domain.make_fleet_state(large=1, small=5))
    assert result.plan is None
    assert (engine_order.LEAVE, "e1") in [(item.kind, item.endpoint_id) for item in result.orders]
    views["e1"] = engine_view.EngineView(
        simulated_domain.engine_record("e1", "small", ("large",)), True, False
    )
    result = step(plan, views, simulated_domain.make_fleet_state(large=1, small=5))
    assert [group.members for group in result.plan.groups] == [("e1", "e2")]


def test_a_complete_group_finishes_its_requests_before_it_retires():
    """Guards against aborted streams when an engine of a group is leaving."""
    plan = group_plan.DomainPlan(2, (GROUP.with_phase(group_plan.RETIRING),))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready")})
    assert [(item.kind, item.aborts_work) for item in result.orders] == [
        (engine_order.CLOSE, False)
    ]
    result = step(plan, {"e0": view(0, 0, "closing"), "e1": view(1, 1, "ready")})
    assert result.orders == []


def test_an_engine_leaves_a_group_that_is_not_planned():
    """Guards against engines that a delayed order has put into an old group."""
    result = step(group_plan.DomainPlan(9, ()), {"e0": view(0, 0, "ready")})
    assert [(item.kind, item.group, item.epoch) for item in result.orders] == [
        (engine_order.LEAVE, "d0.1", 1)
    ]


STANDING = group_plan.GroupPlan(
    group_plan.make_group_name("d0", 1, "small", ("e0", "e1")),
    1,
    "small",
    ("e0", "e1"),
    group_plan.SERVING,
)


def standing_views(state, **fields):
    """Return the views of the members of a group that the plan lacks."""
    views = {}
    for rank, member in enumerate(STANDING.members):
        membership = group_membership.GroupMembership(
            STANDING.name, STANDING.epoch, rank, "ready" if rank else state
        )
        record = simulated_domain.engine_record(member, "small", ("large",), membership)
        views[member] = engine_view.EngineView(record, True, False)
    views["e1"] = dataclasses.replace(views["e1"], **fields)
    return views


@pytest.mark.parametrize(
    ("state", "phase"), [("open", group_plan.SERVING), ("closing", group_plan.RETIRING)]
)
def test_a_group_that_works_on_unplanned_is_taken_over(state, phase):
    """Guards against streams that are cut because all members of their group had paused."""
    result = step(group_plan.DomainPlan(9, ()), standing_views(state))
    assert result.plan.groups == (STANDING.with_phase(phase),)
    assert result.plan.next_epoch == 9
    assert result.orders == []
    assert [item for item in step(result.plan, standing_views(state)).orders if item.group] == []


@pytest.mark.parametrize(
    "views",
    [
        standing_views("ready"),
        standing_views("broken"),
        standing_views("open", is_silent=True),
        standing_views("open", is_present=False),
        {"e0": standing_views("open")["e0"]},
    ],
    ids=["ready", "broken", "silent", "gone", "alone"],
)
def test_an_unplanned_group_without_work_or_a_member_is_not_taken_over(views):
    """Guards against groups of old orders, and against a group that lacks a VM."""
    result = step(group_plan.DomainPlan(9, ()), views)
    assert result.plan is None
    assert (engine_order.LEAVE, "e0") in [(item.kind, item.endpoint_id) for item in result.orders]


def test_an_unplanned_group_of_another_plan_is_not_taken_over():
    """Guards against a group whose epoch the plan has not given out."""
    result = step(group_plan.DomainPlan(1, ()), standing_views("open"))
    assert result.plan is None
    assert [item.kind for item in result.orders] == [engine_order.LEAVE] * 2


def test_a_group_whose_members_are_planned_elsewhere_is_not_taken_over():
    """Guards against a VM in two planned groups."""
    other = group_plan.GroupPlan("d0.2", 2, "small", ("e1", "e2"), group_plan.RETIRING)
    views = standing_views("open")
    views["e2"] = engine_view.EngineView(
        simulated_domain.engine_record("e2", "small", ("large",)), True, False
    )
    result = step(group_plan.DomainPlan(9, (other,)), views)
    planned = () if result.plan is None else result.plan.groups
    assert STANDING not in planned


def test_a_group_opens_only_after_the_serving_phase_is_stored():
    forming = group_plan.DomainPlan(2, (GROUP.with_phase(group_plan.FORMING),))
    views = {"e0": view(0, 0, "ready"), "e1": view(1, 1, "ready")}
    result = step(forming, views)
    assert result.plan.groups[0].phase == group_plan.SERVING
    assert result.orders == []
    result = step(result.plan, views)
    assert [item.kind for item in result.orders] == [engine_order.OPEN]


def test_a_domain_serves_again_after_all_its_engines_restarted():
    """Guards against a domain that does not recover when all its engines fail at once."""
    domain = simulated_domain.SimulatedDomain(10, random.Random(7))
    planner = simulated_domain.SimulatedPlanner(domain)
    fleet_state = simulated_domain.make_fleet_state(large=1, small=3)

    def run(seconds):
        end = domain.now + seconds
        while domain.now < end:
            planner.observe()
            for order in planner.act(fleet_state):
                domain.deliver_order(order)
            domain.advance(0.1)

    run(6.0)
    assert sum(engine.state == "open" for engine in domain.engines.values()) >= 3
    for endpoint_id in domain.engines:
        domain.restart(endpoint_id)
    run(4.0)
    assert sum(engine.state == "open" for engine in domain.engines.values()) >= 3
    assert domain.violations == []


def test_a_short_shortage_does_not_retire_a_serving_group():
    """Guards against retiring groups for a failed one that another domain is already re-forming."""
    groups = []
    views = {}
    for pair in range(3):
        name = group_plan.make_group_name("d0", pair + 1, "small", (f"e{2 * pair}",))
        members = (f"e{2 * pair}", f"e{2 * pair + 1}")
        groups.append(group_plan.GroupPlan(name, pair + 1, "small", members, group_plan.SERVING))
        for rank, member in enumerate(members):
            membership = group_membership.GroupMembership(
                name, pair + 1, rank, "ready" if rank else "open"
            )
            views[member] = engine_view.EngineView(
                simulated_domain.engine_record(member, "small", ("large",), membership), True, False
            )
    plan = group_plan.DomainPlan(9, tuple(groups))
    planner = domain_planner.DomainPlanner("d0")
    spec = simulated_domain.make_engine_spec()
    shortage = placement.FleetState({"large": 5, "small": 9}, {"large": 4, "small": 12}, 1 / 6)
    covered = placement.FleetState({"large": 5, "small": 9}, {"large": 5, "small": 12}, 1 / 6)
    assert planner.step(plan, spec, views, shortage, 0.0).plan is None
    assert planner.step(plan, spec, views, covered, 0.2).plan is None
    assert planner.step(plan, spec, views, shortage, 1.0).plan is None
    after_delay = planner.step(plan, spec, views, shortage, 1.0 + 2.0)
    phases = [group.phase for group in after_delay.plan.groups]
    assert phases.count(group_plan.RETIRING) == 2


def test_the_name_of_a_group_contains_its_model():
    """Guards against several domains that form the same missing group.

    The name is the only source for the model of a group that another domain is forming.
    """
    assert (
        group_plan.model_from_name(group_plan.make_group_name("a-d0", 7, "large", ("e1",)))
        == "large"
    )
    assert group_plan.model_from_name("g7") is None


def test_the_groups_that_replace_retired_ones_are_planned_with_them():
    """Pattern: needs that change between the retirement of a group and its dissolution.

    The engines of a group that was retired for a scarce model formed the same group again.
    """
    groups = []
    views = {}
    for pair in range(2):
        members = (f"e{2 * pair}", f"e{2 * pair + 1}")
        name = group_plan.make_group_name("d0", pair + 1, "small", members)
        groups.append(group_plan.GroupPlan(name, pair + 1, "small", members, group_plan.SERVING))
        for rank, member in enumerate(members):
            state = "ready" if rank else "open"
            membership = group_membership.GroupMembership(name, pair + 1, rank, state)
            record = simulated_domain.engine_record(member, "small", ("large",), membership)
            views[member] = engine_view.EngineView(record, True, False)
    planner = domain_planner.DomainPlanner("d0")
    spec = simulated_domain.make_engine_spec()
    shortage = placement.FleetState({"large": 5, "small": 9}, {"large": 4, "small": 12}, 1 / 6)
    plan = group_plan.DomainPlan(3, tuple(groups))
    planner.step(plan, spec, views, shortage, 0.0)
    plan = planner.step(plan, spec, views, shortage, 2.0).plan
    assert [group.phase for group in plan.groups] == ["retiring", "retiring", "forming"]
    assert plan.groups[2].model == "large"
    reversed_needs = placement.FleetState({"large": 4, "small": 20}, {"large": 4}, 1 / 6)
    orders = planner.step(plan, spec, views, reversed_needs, 2.1).orders
    assert [order.kind for order in orders] == [engine_order.CLOSE, engine_order.CLOSE]
    for endpoint_id, view_before in list(views.items()):
        record = simulated_domain.engine_record(endpoint_id, "small", ("large",))
        views[endpoint_id] = engine_view.EngineView(record, True, view_before.is_silent)
    plan = planner.step(plan, spec, views, reversed_needs, 2.2).plan
    assert [group.phase for group in plan.groups] == ["forming"]
    orders = planner.step(plan, spec, views, reversed_needs, 2.3).orders
    assert [order.kind for order in orders] == [engine_order.JOIN] * 4
