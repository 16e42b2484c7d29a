"""Seeded fault schedules for gossip: partitions, pauses, restarts, message loss, entry changes."""

import numpy as np

from lynxlanding.membership import exchange_schedule, gossip, member, node_info, scopes

STEP_S = 0.5
FAULT_PHASE_S = 60.0
RECOVERY_PHASE_S = 90.0
PLACES = ("a", "a", "a", "b", "b")


class Node:
    """Simulated node; ``published`` holds the last value published under each key."""

    def __init__(self, name, place, incarnation, address, random_state, now):
        info = node_info.NodeInfo(name, incarnation, address, place, "coast")
        self.gossip = gossip.Gossip(info, now)
        self.schedule = exchange_schedule.ExchangeSchedule(info, STEP_S, random_state, now)
        self.published = {}
        self.is_running = True
        self.paused_until = 0.0


class FaultSchedule:
    """Runs gossip under a seeded fault schedule and checks that the views converge."""

    def __init__(self, seed):
        self._random_state = np.random.default_rng(seed)
        self._now = 0.0
        self._partition = {}
        self._restarts = 0
        self.nodes = {}
        for index, place in enumerate(PLACES):
            self._start(f"n{index}", place)

    def run(self):
        """Run a phase with faults and one without; return the violations."""
        while self._now < FAULT_PHASE_S:
            self._inject_event()
            self._step(loss=0.2)
        self._partition = {}
        for node in self.nodes.values():
            node.paused_until = 0.0
        while self._now < FAULT_PHASE_S + RECOVERY_PHASE_S:
            self._step(loss=0.0)
        return self._violations()

    def _inject_event(self):
        draw = self._random_state.random()
        name = list(self.nodes)[int(self._random_state.integers(len(self.nodes)))]
        node = self.nodes[name]
        if draw < 0.03:
            node.paused_until = self._now + float(self._random_state.choice([2, 10, 70]))
        elif draw < 0.05:
            self._start(name, node.gossip.info.place)
        elif draw < 0.06:
            node.is_running = False
        elif draw < 0.08:
            self._partition = {name: int(self._random_state.integers(2)) for name in self.nodes}
        elif draw < 0.10:
            self._partition = {}
        elif draw < 0.4 and node.is_running and node.paused_until <= self._now:
            scope = scopes.ALL[int(self._random_state.integers(2))]
            value = str(int(self._random_state.integers(1000))).encode()
            node.gossip.publish(f"{scope}-key", value, scope)
            node.published[f"{scope}-key"] = value

    def _start(self, name, place):
        """Start a node; some starts reuse incarnation 1, as after a clock step backwards."""
        self._restarts += 1
        incarnation = self._restarts if self._random_state.random() < 0.8 else 1
        index = int(name[1:])
        started = Node(name, place, incarnation, f"host-{index}", self._random_state, self._now)
        started.schedule.set_seeds([f"host-{other}" for other in range(2) if other != index])
        self.nodes[name] = started

    def _step(self, loss):
        self._now += STEP_S
        by_address = {node.gossip.info.address: node for node in self.nodes.values()}
        for node in self.nodes.values():
            if not self._can_run(node):
                continue
            for record in node.gossip.tick(self._now):
                node.schedule.add_removed_address(record.info.address)
            for planned in node.schedule.due_exchanges(node.gossip.members(), self._now):
                peer = by_address[planned.address]
                if self._can_run(peer) and self._is_connected(node, peer):
                    self._exchange(node, peer, planned.scope, loss)

    def _exchange(self, node, peer, scope, loss):
        request = node.gossip.create_request(scope, self._now)
        if self._random_state.random() < loss:
            return
        response = peer.gossip.handle_request(request, self._now)
        if self._random_state.random() < loss:
            return
        push = node.gossip.merge_response(response, self._now)
        if push is not None and self._random_state.random() >= loss:
            peer.gossip.merge_push(push, self._now)

    def _can_run(self, node):
        return node.is_running and node.paused_until <= self._now

    def _is_connected(self, node, peer):
        sides = self._partition
        return sides.get(node.gossip.info.node_id) == sides.get(peer.gossip.info.node_id)

    def _violations(self):
        violations = []
        running = {name for name, node in self.nodes.items() if node.is_running}
        for name in sorted(running):
            node = self.nodes[name]
            members = {item.node_id: item for item in node.gossip.members()}
            if set(members) != running:
                violations.append(f"{name} knows {sorted(members)}, expected {sorted(running)}")
                continue
            for other_name, item in members.items():
                other = self.nodes[other_name]
                if item.state != member.LIVE:
                    violations.append(f"{name} suspects {other_name}")
                if item.incarnation != other.gossip.info.incarnation:
                    violations.append(f"{name} knows an old incarnation of {other_name}")
                violations.extend(self._entry_violations(node, other))
        return violations

    def _entry_violations(self, node, other):
        violations = []
        observer = node.gossip.info
        record = node.gossip.table.by_node(other.gossip.info.node_id)
        for key, value in other.published.items():
            if key.startswith(scopes.PLACE) and observer.place != other.gossip.info.place:
                continue
            observed = record.entries.get(key)
            if observed is None or observed.value != value:
                violations.append(
                    f"{observer.node_id} sees {observed} for {other.gossip.info.node_id} {value}"
                )
        if observer.place != other.gossip.info.place and "place-key" in record.entries:
            violations.append(
                f"{observer.node_id} received a place entry of {other.gossip.info.node_id}"
            )
        return violations
