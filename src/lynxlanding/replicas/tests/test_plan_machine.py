"""State machine over two planners, the store and the engines; hypothesis chooses every step."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lynxlanding.replicas import domain_planner, group_plan
from lynxlanding.replicas.tests import plan_world

ENGINES = 8
PLANNERS = st.integers(0, 1)
ENGINE_IDS = st.integers(0, ENGINES - 1).map("e{}".format)


class PlanMachine(stateful.RuleBasedStateMachine):
    """Shrinks a schedule that breaks a promise to its shortest form."""

    def __init__(self):
        super().__init__()
        self._world = plan_world.World(ENGINES, random.Random(0))
        self._planners = [plan_world.Planner(self._world) for _ in range(2)]
        self._highest_epochs = {}
        self._last_epoch = 0

    @stateful.rule(planner=PLANNERS)
    def look(self, planner):
        """A planner that is not frozen reads the plan and the registrations."""
        self._planners[planner].look()

    @stateful.rule(
        planner=PLANNERS,
        loses_answer=st.booleans(),
        delay_s=st.sampled_from([0.0, 0.0, 0.0, 0.7, 5.0]),
        large=st.integers(0, 3),
    )
    def act(self, planner, loses_answer, delay_s, large):
        """A planner acts on what it knows; its orders may arrive late."""
        needs = plan_world.counts(large=max(0.1, large), small=4 - large)
        for order in self._planners[planner].act(needs, loses_answer):
            if not self._world.engines[order.endpoint_id].is_cut:
                self._world.order(order, delay_s)

    @stateful.rule(planner=PLANNERS, large=st.integers(0, 3))
    def work(self, planner, large):
        """A planner works undisturbed for a while, so that groups get as far as serving."""
        for _ in range(6):
            self.look(planner)
            self.act(planner, loses_answer=False, delay_s=0.0, large=large)
            self.wait(0.5)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        self._world.advance(seconds)

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def crash_or_return(self, endpoint_id):
        engine = self._world.engines[endpoint_id]
        engine.is_alive = not engine.is_alive

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def restart(self, endpoint_id):
        self._world.restart(endpoint_id)

    @stateful.rule(endpoint_id=ENGINE_IDS)
    def cut_or_heal(self, endpoint_id):
        """Cut an engine from the store and the nodes, but not from the other members."""
        engine = self._world.engines[endpoint_id]
        engine.is_cut = not engine.is_cut

    @stateful.invariant()
    def no_promise_is_broken(self):
        assert self._world.violations == []

    @stateful.invariant()
    def epochs_only_rise(self):
        plan = self._world.stored
        assert plan.next_epoch >= self._last_epoch
        self._last_epoch = plan.next_epoch
        for engine in self._world.engines.values():
            life = (engine.endpoint_id, engine.born_ms)
            assert engine.seen_epoch >= self._highest_epochs.get(life, 0)
            self._highest_epochs[life] = engine.seen_epoch

    @stateful.invariant()
    def no_engine_is_planned_twice(self):
        plan = self._world.stored
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


def test_the_machine_finds_engines_that_are_planned_before_they_have_left():
    settings = hypothesis.settings(
        TestPlanMachine.settings, max_examples=300, report_multiple_bugs=False, database=None
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(domain_planner, "_is_dissolved", lambda group, engines: True)
        patch.setattr(domain_planner, "_join_orders", plan_world.join_at_once)
        patch.setattr(domain_planner, "_free_records", plan_world.all_usable)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(PlanMachine, settings=settings)
