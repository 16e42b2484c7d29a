import random

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import domain_planner, engine_order, engine_view, group_plan, placement
from lynxlanding.replicas.tests import plan_world

GROUP = group_plan.GroupPlan("d0.1", 1, "small", ("e0", "e1"), group_plan.SERVING)


def view(number, rank, state, present=True, silent=False):
    held = group_membership.GroupMembership("d0.1", 1, rank, state)
    record = plan_world.record(f"e{number}", "small", ("large",), held)
    return engine_view.EngineView(record, present, silent)


def step(plan, views, needs=None):
    planner = domain_planner.DomainPlanner("d0")
    needs = needs or plan_world.counts(large=1, small=1)
    return planner.step(plan, plan_world.engine_spec(), views, needs, 0.0)


def test_a_silent_member_retires_its_group():
    plan = group_plan.DomainPlan(2, (GROUP,))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready", silent=True)})
    assert result.plan.groups[0].phase == group_plan.RETIRING
    assert result.orders == []


def test_reachable_members_of_an_incomplete_group_leave_at_once():
    """Guards against waiting for the stall of a head that has lost a member."""
    plan = group_plan.DomainPlan(2, (GROUP.in_phase(group_plan.RETIRING),))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready", silent=True)})
    assert [(item.kind, item.endpoint_id) for item in result.orders] == [(engine_order.LEAVE, "e0")]


def test_a_member_is_not_used_before_it_has_left():
    """Guards against a VM in two groups where the head is cut off and still open."""
    plan = group_plan.DomainPlan(2, (GROUP.in_phase(group_plan.RETIRING),))
    views = {
        "e0": engine_view.EngineView(view(0, 0, "open").record, False, False),
        "e1": view(1, 1, "ready"),
        "e2": engine_view.EngineView(plan_world.record("e2", "small", ("large",)), True, False),
    }
    result = step(plan, views, plan_world.counts(large=1, small=5))
    assert result.plan is None
    assert (engine_order.LEAVE, "e1") in [(item.kind, item.endpoint_id) for item in result.orders]
    views["e1"] = engine_view.EngineView(plan_world.record("e1", "small", ("large",)), True, False)
    result = step(plan, views, plan_world.counts(large=1, small=5))
    assert [group.members for group in result.plan.groups] == [("e1", "e2")]


def test_a_planned_retirement_lets_the_work_finish():
    """Guards against cut streams when an engine of a group is leaving."""
    plan = group_plan.DomainPlan(2, (GROUP.in_phase(group_plan.RETIRING),))
    result = step(plan, {"e0": view(0, 0, "open"), "e1": view(1, 1, "ready")})
    assert [(item.kind, item.aborts_work) for item in result.orders] == [
        (engine_order.CLOSE, False)
    ]
    result = step(plan, {"e0": view(0, 0, "closing"), "e1": view(1, 1, "ready")})
    assert result.orders == []


def test_a_group_of_no_plan_is_left():
    """Guards against engines that a late order has put into an old group."""
    result = step(group_plan.DomainPlan(9, ()), {"e0": view(0, 0, "ready")})
    assert [(item.kind, item.group, item.epoch) for item in result.orders] == [
        (engine_order.LEAVE, "d0.1", 1)
    ]


def test_opens_only_after_the_stored_plan_says_so():
    forming = group_plan.DomainPlan(2, (GROUP.in_phase(group_plan.FORMING),))
    views = {"e0": view(0, 0, "ready"), "e1": view(1, 1, "ready")}
    result = step(forming, views)
    assert result.plan.groups[0].phase == group_plan.SERVING
    assert result.orders == []
    result = step(result.plan, views)
    assert [item.kind for item in result.orders] == [engine_order.OPEN]


def test_a_domain_serves_again_after_it_was_lost_as_a_whole():
    """Pattern: a domain lost under load; all engines return with their hosts' models."""
    world = plan_world.World(10, random.Random(7))
    planner = plan_world.Planner(world)
    needs = plan_world.counts(large=1, small=3)

    def play(seconds):
        end = world.now + seconds
        while world.now < end:
            planner.look()
            for order in planner.act(needs):
                world.order(order)
            world.advance(0.1)

    play(6.0)
    assert sum(engine.state == "open" for engine in world.engines.values()) >= 3
    for endpoint_id in world.engines:
        world.restart(endpoint_id)
    play(4.0)
    assert sum(engine.state == "open" for engine in world.engines.values()) >= 3
    assert world.violations == []


def test_a_short_lack_does_not_take_a_serving_group():
    """Pattern: a group lost under load that another domain is forming again already."""
    groups = []
    views = {}
    for pair in range(3):
        name = group_plan.make_name("d0", pair + 1, "small")
        members = (f"e{2 * pair}", f"e{2 * pair + 1}")
        groups.append(group_plan.GroupPlan(name, pair + 1, "small", members, group_plan.SERVING))
        for rank, member in enumerate(members):
            held = group_membership.GroupMembership(
                name, pair + 1, rank, "ready" if rank else "open"
            )
            views[member] = engine_view.EngineView(
                plan_world.record(member, "small", ("large",), held), True, False
            )
    plan = group_plan.DomainPlan(9, tuple(groups))
    planner = domain_planner.DomainPlanner("d0")
    spec = plan_world.engine_spec()
    lack = placement.FleetCounts({"large": 5, "small": 9}, {"large": 4, "small": 12}, 1 / 6)
    covered = placement.FleetCounts({"large": 5, "small": 9}, {"large": 5, "small": 12}, 1 / 6)
    assert planner.step(plan, spec, views, lack, 0.0).plan is None
    assert planner.step(plan, spec, views, covered, 0.2).plan is None
    assert planner.step(plan, spec, views, lack, 1.0).plan is None
    lasting = planner.step(plan, spec, views, lack, 1.0 + 2.0)
    phases = [group.phase for group in lasting.plan.groups]
    assert phases.count(group_plan.RETIRING) == 2


def test_the_name_of_a_group_tells_its_model():
    """Guards against several domains that form the same missing group."""
    assert group_plan.model_of(group_plan.make_name("a-d0", 7, "large")) == "large"
    assert group_plan.model_of("g7") is None
