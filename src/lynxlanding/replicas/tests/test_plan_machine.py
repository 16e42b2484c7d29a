"""Stateful test of two planners, the store and the engines; Hypothesis chooses every step."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lynxlanding.replicas import domain_planner, group_orders, group_plan, group_state
from lynxlanding.replicas.tests import simulated_domain

ENGINES = 8
PLANNERS = st.integers(0, 1)
ENGINE_IDS = st.integers(0, ENGINES - 1).map("e{}".format)


class PlanMachine(stateful.RuleBasedStateMachine):
    """State machine whose failing schedules Hypothesis shrinks to a minimal example."""

    def __init__(self):
        super().__init__()
        self._domain = simulated_domain.SimulatedDomain(ENGINES, random.Random(0))
        self._planners = [simulated_domain.SimulatedPlanner(self._domain) for _ in range(2)]
        self._highest_epochs = {}
        self._last_epoch = 0

    @stateful.rule(planner=PLANNERS)
    def observe(self, planner):
        """A planner reads the stored plan and the registrations."""
        self._planners[planner].observe()

    @stateful.rule(
        planner=PLANNERS,
        loses_answer=st.booleans(),
        delay_s=st.sampled_from([0.0, 0.0, 0.0, 0.7, 5.0]),
        large=st.integers(0, 3),
    )
    def act(self, planner, loses_answer, delay_s, large):
        """A planner acts on its latest view, which may be outdated; its orders may arrive late."""
        fleet_state = simulated_domain.make_fleet_state(large=max(0.1, large), small=4 - large)
        for order in self._planners[planner].act(fleet_state, loses_answer):
            if not self._domain.engines[order.endpoint_id].is_partitioned:
                self._domain.deliver_order(order, delay_s)

    @stateful.rule(planner=PLANNERS, large=st.integers(0, 3))
    def work(self, planner, large):
        """A planner works without faults for a while, so that groups reach the serving phase."""
        for _ in range(6):
            self.observe(planner)
            self.act(planner, loses_answer=False, delay_s=0.0, large=large)
            self.wait(0.5)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        self._domain.advance(seconds)

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def crash_or_recover(self, endpoint_id):
        engine = self._domain.engines[endpoint_id]
        engine.is_alive = not engine.is_alive

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def restart(self, endpoint_id):
        self._domain.restart(endpoint_id)

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def disconnect_or_reconnect(self, endpoint_id):
        """Isolate an engine from the store and the nodes, but not from the other members."""
        engine = self._domain.engines[endpoint_id]
        engine.is_partitioned = not engine.is_partitioned

    @stateful.rule(writes=st.integers(1, 6))
    def roll_back(self, writes):
        """The store comes back from a copy that lacks its latest writes."""
        self._domain.roll_back(writes)
        self._last_epoch = self._domain.stored_plan.next_epoch

    @stateful.invariant()
    def no_invariant_is_violated(self):
        assert self._domain.violations == []

    @stateful.invariant()
    def epochs_never_decrease(self):
        plan = self._domain.stored_plan
        assert plan.next_epoch >= self._last_epoch
        self._last_epoch = plan.next_epoch
        for engine in self._domain.engines.values():
            incarnation = (engine.endpoint_id, engine.started_ms)
            assert engine.seen_epoch >= self._highest_epochs.get(incarnation, 0)
            self._highest_epochs[incarnation] = engine.seen_epoch

    @stateful.invariant()
    def no_engine_is_in_two_planned_groups(self):
        plan = self._domain.stored_plan
        members = []
        for group in plan.groups:
            if group.phase == group_plan.RETIRING:
                continue
            members.extend(group.members)
            assert group.epoch < plan.next_epoch
        assert len(members) == len(set(members))


TestPlanMachine = PlanMachine.TestCase
TestPlanMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_state_machine_detects_engines_planned_before_they_have_left():
    """Guards against a state machine that cannot detect a faulty planner."""
    settings = hypothesis.settings(
        TestPlanMachine.settings, max_examples=300, report_multiple_bugs=False, database=None
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(group_state, "is_dissolved", lambda group, engines: True)
        patch.setattr(group_orders, "_join_orders", simulated_domain.join_without_leaving)
        patch.setattr(domain_planner, "_free_records", simulated_domain.usable_records_with_members)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(PlanMachine, settings=settings)
