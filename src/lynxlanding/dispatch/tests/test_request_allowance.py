"""Nodes that share the limit of an endpoint, with views of each other that differ for a while."""

import math
import random

import pytest

from lynxlanding.dispatch import limit_table, request_allowance
from lynxlanding.dispatch.tests import dispatch_factories

RECORD = dispatch_factories.make_head(0)
STEP_S = 0.05
# Nodes notice at different times, up to this, that another one has started or ended: a node counts
# as live for 1.3 s after its last report, and reports come every 0.4 s.
VIEW_DELAY_S = 1.8
# The users' rule: any window of this length, this factor of the limit, and this many requests.
WINDOW_S = 4.0
FACTOR = 1.5
BURST = 5


class SimulatedNode:
    """One node that sends as many requests as it may."""

    def __init__(self, node_id, now):
        self.node_id = node_id
        self.table = limit_table.LimitTable(node_id)
        self.allowance = request_allowance.RequestAllowance(node_id, self.table, now)
        self.is_running = True
        self.is_excused = False

    def learn(self, limit_per_s, now):
        self.table.record_response(RECORD, limit_per_s, now, now)


class SimulatedFleet:
    """Nodes that start, stop and learn of it after random delays."""

    def __init__(self, count, random_state):
        self.random_state = random_state
        self.now = 0.0
        self.nodes = {}
        self.sent = []
        # (time, observer, node, is live) of the changes that nodes still have to notice.
        self.pending_views = []
        self.views = {}
        names = [f"n{number}" for number in range(count)]
        for name in names:
            self.nodes[name] = SimulatedNode(name, self.now)
            self.views[name] = set(names)
            self.nodes[name].allowance.use_live_nodes(names, self.now)

    def start(self, name, limit_per_s):
        self.nodes[name] = SimulatedNode(name, self.now)
        self.views[name] = {name}
        self.nodes[name].learn(limit_per_s, self.now)
        for other in list(self.nodes):
            self._notice(other, name, is_live=True)
            if other != name and self.nodes[other].is_running:
                self._notice(name, other, is_live=True)

    def stop(self, name, *, goes_on=False):
        """Let the other nodes lose a node; it ends, or goes on alone if ``goes_on``."""
        node = self.nodes[name]
        node.is_excused = True
        node.is_running = goes_on
        for other in self.nodes:
            if other != name:
                self._notice(other, name, is_live=False)

    def run(self, duration_s, pressure=1.0):
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            self._apply_views()
            names = list(self.nodes)
            self.random_state.shuffle(names)
            for name in names:
                node = self.nodes[name]
                if not node.is_running or self.random_state.random() > pressure:
                    continue
                if node.allowance.try_consume("e0", self.now) and not node.is_excused:
                    self.sent.append(self.now)

    def worst_window(self):
        worst = 0
        start = 0
        for index, at in enumerate(self.sent):
            while self.sent[start] <= at - WINDOW_S:
                start += 1
            worst = max(worst, index - start + 1)
        return worst

    def _notice(self, observer, name, *, is_live):
        at = self.now + self.random_state.uniform(0.0, VIEW_DELAY_S)
        self.pending_views.append((at, observer, name, is_live))

    def _apply_views(self):
        for item in list(self.pending_views):
            at, observer, name, is_live = item
            if at > self.now:
                continue
            self.pending_views.remove(item)
            if is_live:
                self.views[observer].add(name)
            else:
                self.views[observer].discard(name)
            self.nodes[observer].allowance.use_live_nodes(self.views[observer], self.now)


def make_fleet(count, limit_per_s, seed, pressure=1.0):
    fleet = SimulatedFleet(count, random.Random(seed))
    fleet.now = 5.0
    for node in fleet.nodes.values():
        node.learn(limit_per_s, fleet.now)
    fleet.run(12.0, pressure)
    return fleet


@pytest.mark.parametrize("count", [1, 2, 9, 22, 83, 410])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.0, 1.4, 5.0, 20.0])
def test_nodes_together_keep_to_the_limit(count, limit_per_s):
    """Guards against a sum that grows with the number of nodes."""
    fleet = make_fleet(count, limit_per_s, seed=1)
    assert fleet.worst_window() <= FACTOR * limit_per_s * WINDOW_S + BURST


@pytest.mark.parametrize("count", [1, 2, 9, 83])
@pytest.mark.parametrize("limit_per_s", [0.2, 1.0, 1.4, 5.0])
def test_limit_is_used(count, limit_per_s):
    """Guards against endpoints that serve less than they would take."""
    fleet = make_fleet(count, limit_per_s, seed=1)
    first_at = fleet.now - 8.0
    used = sum(1 for at in fleet.sent if at > first_at) / 8.0
    assert used >= 0.7 * limit_per_s


@pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.0, 1.4, 5.0])
def test_limit_holds_while_nodes_stop_start_and_are_cut_off(limit_per_s):
    """Guards against a node and its successor that both use a part of the limit."""
    for seed in range(40):
        fleet = make_fleet(9, limit_per_s, seed, pressure=random.Random(seed).choice([0.1, 1.0]))
        names = list(fleet.nodes)
        fleet.random_state.shuffle(names)
        for name in names[:4]:
            fleet.stop(name, goes_on=fleet.random_state.random() < 0.5)
            fleet.run(fleet.random_state.uniform(0.1, 3.0))
        for name in names[:2]:
            fleet.start(name, limit_per_s)
            fleet.run(fleet.random_state.uniform(0.1, 3.0))
        fleet.run(6.0)
        allowed = FACTOR * limit_per_s * WINDOW_S + BURST
        assert fleet.worst_window() <= allowed, f"seed {seed}"


def test_node_that_has_just_started_does_not_take_the_whole_limit():
    """Guards against a node that does not know the others yet."""
    node = SimulatedNode("n0", 0.0)
    node.learn(1.0, 0.1)
    sent = [step for step in range(20, 190) if node.allowance.try_consume("e0", step * 0.01)]
    assert sent == []


def test_nodes_with_a_part_begin_in_turn_and_the_others_wait_for_ever():
    waits = []
    for number in range(9):
        node = SimulatedNode(f"n{number}", 0.0)
        node.allowance.use_live_nodes([f"n{other}" for other in range(9)], 0.0)
        node.learn(1.0, 10.0)
        waits.append(node.allowance.wait_s("e0", 10.0))
        assert node.allowance.wait_s("e1", 10.0) == 0.0
    assert waits.count(math.inf) == 5
    assert sorted(wait for wait in waits if wait < math.inf) == pytest.approx([1, 2, 3, 4])


def test_endpoint_that_takes_nothing_is_asked_now_and_then():
    """Guards against a limit of 0 that lasts for ever."""
    fleet = make_fleet(9, 0.0, seed=1)
    fleet.run(30.0)
    assert 6 <= len(fleet.sent) <= 12


def test_changes_name_the_part_of_the_node():
    node = SimulatedNode("n0", 0.0)
    node.learn(2.0, 5.0)
    node.allowance.wait_s("e0", 5.0)
    (change,) = node.allowance.use_live_nodes(["n0"], 5.1)
    assert (change.rate_per_s, change.live_nodes, change.starts_in_s) == (2.0, 1, 0.0)
    (change,) = node.allowance.use_live_nodes(["n0", "n1"], 5.2)
    assert (change.rate_per_s, change.live_nodes, change.starts_in_s) == (1.0, 2, 0.0)
    (change,) = node.allowance.use_live_nodes(["n0"], 6.0)
    assert (change.rate_per_s, change.starts_in_s) == (
        2.0,
        request_allowance.INCREASE_DELAY_S,
    )
    assert node.allowance.rate_per_s("e0", 7.9) == 1.0
    assert node.allowance.rate_per_s("e0", 8.1) == 2.0
