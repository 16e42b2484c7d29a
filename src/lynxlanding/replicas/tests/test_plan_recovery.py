"""Plans after the store has come back from an older copy."""

import random

import pytest

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import domain_planner, engine_view, group_plan, plan_recovery
from lynxlanding.replicas.tests import simulated_domain

SCHEDULES = 1000
STEPS = 60
SPEC = simulated_domain.make_engine_spec()
MEMBERS = ("e0", "e1")
NAME = group_plan.make_group_name("d0", 7, "small", MEMBERS)


def make_view(endpoint_id, rank=None, state="ready", name=NAME, epoch=7):
    membership = None
    if rank is not None:
        membership = group_membership.GroupMembership(name, epoch, rank, state)
    record = simulated_domain.engine_record(endpoint_id, "small", (), membership)
    return engine_view.EngineView(record, True, False)


def recover(plan, views, era=2):
    engines = {view.record.endpoint_id: view for view in views}
    return plan_recovery.recover(plan, SPEC, engines, era)


def test_a_group_that_only_the_engines_know_is_taken_over():
    """Guards against tearing down a group that serves but is missing in the older copy."""
    views = [make_view("e0", 0, "open"), make_view("e1", 1)]
    recovered = recover(group_plan.DomainPlan(3, (), 1), views)
    assert recovered.taken_over == (NAME,)
    assert recovered.plan.groups == (
        group_plan.GroupPlan(NAME, 7, "small", MEMBERS, group_plan.SERVING),
    )


def test_epochs_of_an_era_are_higher_than_all_before():
    """Guards against an epoch given out twice: the copy may lack the latest ones."""
    recovered = recover(group_plan.DomainPlan(3, (), 1), [])
    assert recovered.plan.next_epoch == 2 * group_plan.EPOCHS_PER_ERA
    assert recovered.plan.era == 2
    views = [make_view("e0", 0, "open", epoch=9), make_view("e1", 1, epoch=9)]
    assert recover(group_plan.DomainPlan(3, (), 1), views, era=0).plan.next_epoch == 10


def test_a_planned_group_whose_members_went_elsewhere_is_retired():
    """Guards against a dissolved group that the older copy still plans."""
    planned = group_plan.GroupPlan("old", 5, "small", ("e0", "e2"), group_plan.SERVING)
    views = [make_view("e0", 0, "open"), make_view("e1", 1), make_view("e2")]
    recovered = recover(group_plan.DomainPlan(6, (planned,), 1), views)
    assert recovered.retired == ("old",)
    assert recovered.taken_over == (NAME,)


def test_an_incomplete_unknown_group_is_retired():
    recovered = recover(group_plan.DomainPlan(6, (), 1), [make_view("e1", 1)])
    assert recovered.retired == (NAME,)
    assert recovered.plan.groups[0].members == ("e1",)


def test_a_forming_group_of_the_copy_goes_on_only_if_all_members_have_joined():
    """Guards against repeating orders of an earlier era."""
    planned = group_plan.GroupPlan(NAME, 7, "small", MEMBERS, group_plan.FORMING)
    plan = group_plan.DomainPlan(8, (planned,), 1)
    waiting = recover(plan, [make_view("e0", 0, "joining"), make_view("e1", 1)])
    assert waiting.plan.groups[0].phase == group_plan.FORMING
    missing = recover(plan, [make_view("e0", 0, "joining"), make_view("e1")])
    assert missing.plan.groups[0].phase == group_plan.RETIRING


def test_a_serving_group_with_an_unregistered_member_is_kept():
    """Guards against retiring a group whose member is cut from the store only."""
    planned = group_plan.GroupPlan(NAME, 7, "small", MEMBERS, group_plan.SERVING)
    missing = engine_view.EngineView(None, True, False)
    engines = {"e0": make_view("e0", 0, "open"), "e1": missing}
    recovered = plan_recovery.recover(group_plan.DomainPlan(8, (planned,), 1), SPEC, engines, 2)
    assert recovered.kept == (NAME,)


def test_group_names_differ_with_their_members():
    names = {group_plan.make_group_name("d0", 7, "small", members) for members in [("a",), ("b",)]}
    assert len(names) == 2


def run_schedule(seed):
    """Run planners and engines through roll-backs of the store; return the simulated domain."""
    random_state = random.Random(seed)
    domain = simulated_domain.SimulatedDomain(10, random_state)
    planners = [simulated_domain.SimulatedPlanner(domain) for _ in range(2)]
    fleet_state = simulated_domain.make_fleet_state()
    for _ in range(STEPS):
        event = random_state.random()
        engine = random_state.choice(list(domain.engines.values()))
        if event < 0.05:
            engine.is_alive = not engine.is_alive
        elif event < 0.08:
            domain.restart(engine.endpoint_id)
        elif event < 0.13:
            domain.roll_back(random_state.randrange(1, 5))
        elif event < 0.16:
            # A node without any memory starts.
            planners[random_state.randrange(2)] = simulated_domain.SimulatedPlanner(domain)
        simulated_domain.run_round(domain, planners, fleet_state)
    return domain


def test_no_schedule_with_roll_backs_breaks_a_group():
    """Guards against two groups of one engine, early opening and names given out twice."""
    opened_groups = 0
    for seed in range(SCHEDULES):
        domain = run_schedule(seed)
        assert domain.violations == [], f"seed {seed}"
        opened_groups += domain.opened_groups
    assert opened_groups > SCHEDULES


def keep_plan(plan, engine_spec, engines, era, used_epoch=0):
    """Adopt the stored plan as it is; a fault that the schedules must detect."""
    del engine_spec, engines, used_epoch
    kept = group_plan.DomainPlan(plan.next_epoch, plan.groups, era)
    return plan_recovery.RecoveredPlan(kept, (), (), ())


def test_schedules_detect_a_planner_that_trusts_the_older_copy():
    """Guards against schedules in which a roll-back of the store cannot be noticed."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(plan_recovery, "recover", keep_plan)
        patch.setattr(group_plan, "make_group_name", lambda domain, epoch, model, _: f"{epoch}")
        found = sum(bool(run_schedule(seed).violations) for seed in range(200))
    assert found > 0


def settle(domain, planner, fleet_state, seconds):
    for _ in range(int(seconds / 0.2)):
        planner.observe()
        for order in planner.act(fleet_state):
            domain.deliver_order(order)
        domain.advance(0.2)


@pytest.mark.parametrize("writes", [1, 3, 6, 50])
def test_standing_groups_serve_on_through_a_roll_back(writes):
    """Guards against groups that are torn down since the older copy does not know them."""
    domain = simulated_domain.SimulatedDomain(10, random.Random(writes))
    planner = simulated_domain.SimulatedPlanner(domain)
    fleet_state = simulated_domain.make_fleet_state()
    settle(domain, planner, fleet_state, 10.0)
    before = {item.group for item in domain.engines.values() if item.state == "open"}
    assert before
    domain.roll_back(writes)
    for node in (planner, simulated_domain.SimulatedPlanner(domain)):
        settle(domain, node, fleet_state, 6.0)
        after = {item.group for item in domain.engines.values() if item.state == "open"}
        assert before <= after


def test_the_plan_is_of_the_present_era_after_the_recovery():
    domain = simulated_domain.SimulatedDomain(10, random.Random(5))
    planner = simulated_domain.SimulatedPlanner(domain)
    settle(domain, planner, simulated_domain.make_fleet_state(), 6.0)
    domain.roll_back(2)
    settle(domain, planner, simulated_domain.make_fleet_state(), 6.0)
    assert domain.stored_plan.era == 1
    assert isinstance(planner.planner, domain_planner.DomainPlanner)
