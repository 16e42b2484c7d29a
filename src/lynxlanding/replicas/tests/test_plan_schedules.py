"""Random schedules of concurrent planners, lost responses, late orders and failing engines."""

import random

import pytest

from lynxlanding.replicas import domain_planner, group_orders, group_state
from lynxlanding.replicas.tests import simulated_domain

SCHEDULES = 1000
STEPS = 40


def run_schedule(seed, mutate=None):
    """Run one schedule with two planners; return the simulated domain."""
    random_state = random.Random(seed)
    domain = simulated_domain.SimulatedDomain(10, random_state)
    planners = [
        simulated_domain.SimulatedPlanner(domain),
        simulated_domain.SimulatedPlanner(domain),
    ]
    fleet_state = simulated_domain.make_fleet_state()
    for _ in range(STEPS):
        event = random_state.random()
        engine = random_state.choice(list(domain.engines.values()))
        if event < 0.05:
            engine.is_alive = not engine.is_alive
        elif event < 0.10:
            domain.restart(engine.endpoint_id)
        elif event < 0.15:
            # Isolated from the store and the nodes, but not from the other members.
            engine.is_partitioned = not engine.is_partitioned
        simulated_domain.run_round(domain, planners, fleet_state, mutate)
    return domain


def test_no_schedule_puts_an_engine_in_two_groups_or_opens_an_incomplete_group():
    """Guards against a VM in two groups and a group that opens before all members are ready."""
    opened_groups = 0
    for seed in range(SCHEDULES):
        domain = run_schedule(seed)
        assert domain.violations == [], f"seed {seed}"
        opened_groups += domain.opened_groups
    assert opened_groups > SCHEDULES


def test_schedules_detect_members_that_join_without_leaving():
    """Guards against schedules that cannot detect engines that join without having left."""

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(group_state, "is_dissolved", lambda group, engines: True)
        patch.setattr(domain_planner, "_free_records", simulated_domain.usable_records_with_members)
        patch.setattr(group_orders, "_join_orders", simulated_domain.join_without_leaving)
        found = sum(bool(run_schedule(seed).violations) for seed in range(100))
    assert found > 0


def test_schedules_detect_groups_that_open_too_early():
    """Guards against schedules that cannot detect a planner that checks only the head."""

    def is_head_ready(group, engines):
        membership = engines[group.head].record.membership
        return (
            membership is not None
            and membership.epoch == group.epoch
            and membership.state == "ready"
        )

    def has_no_problem(planner, group, engine_spec, engines, now):
        return None

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(group_state, "is_ready", is_head_ready)
        patch.setattr(domain_planner.DomainPlanner, "_find_problem", has_no_problem)
        found = 0
        for seed in range(100):
            try:
                found += bool(run_schedule(seed).violations)
            except AttributeError:
                # Without the check for failed members the planner accesses engines that are gone.
                continue
    assert found > 0
