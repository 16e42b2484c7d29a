"""Nodes that share a cold engine, with views of each other that differ.

Pattern: an engine that has just started gets requests from all nodes at once and crashes.
"""

import dataclasses
import math
import random

import pytest

from lynxlanding.dispatch import cold_engines, limit_table, request_allowance
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.traffic import service_spec

RECORD = dispatch_factories.make_head(0)
RESTARTED = dataclasses.replace(RECORD, started_ms=2)
COLD_START_S = 20.0
COLD_PER_S = 14.0
SERVICES = {
    "model": service_spec.ServiceSpec(
        "model", 9, None, cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S
    )
}
# The users' rule: what may arrive in any window of one second.
WINDOW_S = 1.0
ALLOWED = COLD_PER_S * 1.5 + 5
STEP_S = 0.02
# Nodes read a registration at different times, up to this.
READ_DELAY_S = 0.5
# Nodes notice at different times that another one has started or is no longer heard.
VIEW_DELAY_S = 1.8
# Nodes that were neither heard nor listed for this long are not known any more.
FORGET_S = 30.0
# Between the decision and the arrival at the engine.
MAX_TRANSIT_S = 0.1


class SimulatedNode:
    """One node that sends as many requests to the engine as it may."""

    def __init__(self, node_id, now):
        self.node_id = node_id
        self.cold = cold_engines.ColdEngines(node_id)
        self.cold.use_services(SERVICES)
        table = limit_table.LimitTable(node_id, self.cold)
        self.allowance = request_allowance.RequestAllowance(node_id, table, now)
        self.live = {node_id}
        self.known = {node_id}
        self.is_running = True
        self.knows_engine = False

    def read(self, record, now, *, is_first_list=False):
        self.cold.record_incarnation(record, now, is_first_list=is_first_list)
        self.cold.record_registration(record, now)
        self.knows_engine = True

    def use_views(self, now):
        # A frozen node does so when it goes on.
        if self.is_running:
            self.allowance.use_live_nodes(self.live, now, self.known)


class SimulatedFleet:
    """Nodes and what they notice of each other, on a simulated clock."""

    def __init__(self, count, seed):
        self.random_state = random.Random(seed)
        self.now = 10.0
        self.arrivals = []
        self._events = []
        names = [f"n{number}" for number in range(count)]
        self.nodes = {name: SimulatedNode(name, 0.0) for name in names}
        for node in self.nodes.values():
            node.live = set(names)
            node.known = set(names)
            node.use_views(self.now)
            node.read(RECORD, self.now, is_first_list=True)
            node.knows_engine = False

    def restart_engine(self):
        """Let all nodes read the engine's new incarnation, one after the other."""
        for node in self.nodes.values():
            self._later(READ_DELAY_S, lambda node=node: node.read(RESTARTED, self.now))

    def start(self, name):
        """Start a node that reads the lists at once, and is noticed by the others."""
        node = SimulatedNode(name, self.now)
        self.nodes[name] = node
        record = dataclasses.replace(RESTARTED, cold_remaining_s=COLD_START_S)
        node.read(record, self.now, is_first_list=True)
        node.known |= set(self.nodes)
        node.use_views(self.now)
        for other in self.nodes.values():
            self._later(VIEW_DELAY_S, lambda other=other: self._hear(other, name))
            self._later(VIEW_DELAY_S, lambda other=other: self._hear(node, other.node_id))

    def stop(self, name):
        """Stop or freeze a node; the others do not hear it any more, and forget it later."""
        self.nodes[name].is_running = False
        self.nodes[name].live = {name}
        for other in self.nodes.values():
            if other.node_id != name:
                self._later(VIEW_DELAY_S, lambda other=other: self._lose(other, name))

    def resume(self, name):
        """Let a frozen node go on where it was; the others hear it soon."""
        node = self.nodes[name]
        node.is_running = True
        # It has missed all reports.
        node.known = {name}
        node.use_views(self.now)
        for other in self.nodes.values():
            self._later(VIEW_DELAY_S, lambda other=other: self._hear(other, name))
            self._later(VIEW_DELAY_S, lambda other=other: self._hear(node, other.node_id))

    def divide(self):
        """Let two halves of the nodes stop hearing each other."""
        names = list(self.nodes)
        self.random_state.shuffle(names)
        half = set(names[: len(names) // 2])
        for node in self.nodes.values():
            for name in names:
                if (name in half) != (node.node_id in half):
                    self._later(
                        VIEW_DELAY_S,
                        lambda node=node, name=name: self._lose(node, name, forgets=False),
                    )

    def run(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            due = [item for item in self._events if item[0] <= self.now]
            self._events = [item for item in self._events if item[0] > self.now]
            for _, act in due:
                act()
            names = list(self.nodes)
            self.random_state.shuffle(names)
            for name in names:
                node = self.nodes[name]
                if not node.is_running or not node.knows_engine:
                    continue
                node.cold.expire(self.now)
                if RECORD.endpoint_id not in node.cold.cold_ids:
                    continue
                while node.allowance.try_consume(RECORD.endpoint_id, self.now):
                    transit_s = self.random_state.uniform(0.0, MAX_TRANSIT_S)
                    self.arrivals.append(self.now + transit_s)

    def worst_window(self):
        worst = 0
        start = 0
        arrivals = sorted(self.arrivals)
        for index, at in enumerate(arrivals):
            while arrivals[start] <= at - WINDOW_S:
                start += 1
            worst = max(worst, index - start + 1)
        return worst

    def _later(self, max_delay_s, act):
        self._events.append((self.now + self.random_state.uniform(0.0, max_delay_s), act))

    def _hear(self, node, name):
        node.live.add(name)
        node.known.add(name)
        node.use_views(self.now)

    def _lose(self, node, name, forgets=True):
        node.live.discard(name)
        node.use_views(self.now)
        if forgets:
            self._events.append((self.now + FORGET_S, lambda: self._forget(node, name)))

    def _forget(self, node, name):
        if name not in node.live:
            node.known.discard(name)
            node.use_views(self.now)


@pytest.mark.parametrize("count", [1, 3, 18, 62, 128])
def test_nodes_together_keep_to_the_bound_and_use_the_rate(count):
    """Guards against first requests of all nodes that reach the engine at once."""
    fleet = SimulatedFleet(count, seed=count)
    fleet.restart_engine()
    fleet.run(10.0)
    assert fleet.worst_window() <= ALLOWED
    used = sum(1 for at in fleet.arrivals if at > fleet.now - 5.0) / 5.0
    assert 0.8 * COLD_PER_S <= used <= 1.05 * COLD_PER_S


@pytest.mark.parametrize("count", [3, 18, 62])
def test_bound_holds_while_nodes_do_not_hear_each_other(count):
    """Guards against halves of a fleet that each use the whole limit."""
    for seed in range(4):
        fleet = SimulatedFleet(count, seed)
        fleet.divide()
        fleet.run(seed * 1.5)
        fleet.restart_engine()
        fleet.run(8.0)
        assert fleet.worst_window() <= ALLOWED, f"seed {seed}"


@pytest.mark.parametrize("count", [3, 18, 62])
def test_bound_holds_while_nodes_start_and_stop(count):
    """Guards against a node and its successor that both use a part of the limit."""
    for seed in range(4):
        fleet = SimulatedFleet(count, seed)
        fleet.restart_engine()
        fleet.run(1.0)
        names = list(fleet.nodes)
        fleet.random_state.shuffle(names)
        for number, name in enumerate(names[:6]):
            fleet.stop(name)
            fleet.run(fleet.random_state.uniform(0.0, 1.0))
            # Half of them come back under their names, the others are replaced.
            fleet.start(name if number % 2 else f"new-{number}")
            fleet.run(fleet.random_state.uniform(0.0, 1.0))
        fleet.run(4.0)
        assert fleet.worst_window() <= ALLOWED, f"seed {seed}"


@pytest.mark.parametrize("count", [3, 18, 62])
@pytest.mark.parametrize("frozen_s", [3.0, 36.0])
def test_bound_holds_while_nodes_freeze_and_go_on(count, frozen_s):
    """Guards against nodes that go on with parts that others have taken over."""
    fleet = SimulatedFleet(count, seed=5)
    names = list(fleet.nodes)
    fleet.random_state.shuffle(names)
    for name in names[:3]:
        fleet.stop(name)
    fleet.run(frozen_s - 1.0)
    fleet.restart_engine()
    fleet.run(1.0)
    for name in names[:3]:
        fleet.resume(name)
    fleet.run(6.0)
    assert fleet.worst_window() <= ALLOWED


def test_node_that_has_just_started_does_not_use_a_cold_engine():
    """Guards against a node that knows no others yet and takes the whole limit."""
    node = SimulatedNode("n0", 100.0)
    record = dataclasses.replace(RECORD, cold_remaining_s=COLD_START_S)
    node.read(record, 100.1, is_first_list=True)
    assert not node.allowance.try_consume(RECORD.endpoint_id, 101.9)
    node.allowance.use_live_nodes([f"n{number}" for number in range(62)], 101.95)
    assert node.allowance.rate_per_s(RECORD.endpoint_id, 104.0) <= COLD_PER_S / 8


@pytest.mark.parametrize("cold_per_s", [0.1, 1.0, 3.0, 14.0, 50.0, 1e9, math.inf])
@pytest.mark.parametrize(("over", "slack"), [(1.5, 5.0), (1.0, 0.0), (1.0, 5.0), (3.0, 0.0)])
def test_nodes_and_rate_stay_within_the_bound(cold_per_s, over, slack):
    limit = cold_engines.divide(cold_per_s, over, slack)
    bound = min(cold_per_s * over + slack, cold_engines.MAX_BOUND)
    assert 0 < limit.rate_per_s <= cold_per_s
    if bound >= 2.0:
        unused = max(limit.max_nodes, limit.rate_per_s * request_allowance.BURST_S)
        assert unused + limit.rate_per_s <= bound * 1.0001
