"""Random schedules of engines that pause and go on with their groups."""

import dataclasses
import random

import pytest

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import domain_planner, engine_order
from lynxlanding.replicas.tests import simulated_domain

SCHEDULES = 1000
STEPS = 40


class PausingDomain(simulated_domain.SimulatedDomain):
    """Domain whose engines may pause, with a check of a further invariant.

    No head of a complete group is ordered to leave while it is open, which would cut its streams.
    """

    def __init__(self, engines, random_state):
        super().__init__(engines, random_state)
        self.paused = set()
        self.pauses_of_groups = 0

    def views(self):
        """Return the engines as a planner sees them; paused ones are silent."""
        views = super().views()
        for endpoint_id in self.paused:
            views[endpoint_id] = dataclasses.replace(views[endpoint_id], is_silent=True)
        return views

    def deliver_order(self, order, delay_s=0.0):
        """Carry out an order unless the engine is paused."""
        if order.endpoint_id in self.paused:
            return
        head = self.engines[order.endpoint_id]
        is_open = head.state == group_membership.OPEN
        if order.kind == engine_order.LEAVE and is_open and self._is_complete(head.group):
            self.violations.append(f"{order.endpoint_id} leaves {order.group} while it is open")
        super().deliver_order(order, delay_s)

    def pause(self):
        """Pause a random engine, or all members of its group, and let others go on."""
        self.paused = {member for member in self.paused if self.random_state.random() < 0.5}
        engine = self.random_state.choice(list(self.engines.values()))
        if engine.group is None or self.random_state.random() < 0.3:
            self.paused.add(engine.endpoint_id)
            return
        self.paused.update(engine.group[2])
        self.pauses_of_groups += 1

    def _is_complete(self, group):
        for member in group[2]:
            if member in self.paused or self.engines[member].group != group:
                return False
        return True


def run_schedule(seed):
    """Run one schedule with one planner; return the simulated domain."""
    random_state = random.Random(seed)
    domain = PausingDomain(10, random_state)
    planner = simulated_domain.SimulatedPlanner(domain)
    fleet_state = simulated_domain.make_fleet_state(large=1, small=3)
    for _ in range(STEPS):
        if random_state.random() < 0.3:
            domain.pause()
        planner.observe()
        for order in planner.act(fleet_state):
            domain.deliver_order(order)
        domain.advance(random_state.uniform(0.05, 0.6))
    return domain


def test_no_schedule_of_pauses_cuts_the_streams_of_a_group():
    """Guards against orders to leave for groups that go on after all their members paused."""
    pauses_of_groups = 0
    for seed in range(SCHEDULES):
        domain = run_schedule(seed)
        assert domain.violations == [], f"seed {seed}"
        pauses_of_groups += domain.pauses_of_groups
    assert pauses_of_groups > SCHEDULES


def test_schedules_detect_groups_that_are_not_taken_over():
    """Guards against schedules in which no group goes on after it was dissolved."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(domain_planner, "_take_over_groups", lambda *arguments: [])
        found = sum(bool(run_schedule(seed).violations) for seed in range(100))
    assert found > 0
