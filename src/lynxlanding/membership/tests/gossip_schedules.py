"""Seeded schedules of gossip: partitions, pauses, restarts, lost messages and changing entries."""

import numpy as np

from lynxlanding.membership import exchange_schedule, gossip, member, node_info, scopes

STEP_S = 0.5
FAULTY_S = 60.0
QUIET_S = 90.0
PLACES = ("a", "a", "a", "b", "b")


class Node:
    """One node; ``published`` is what it published last, by key."""

    def __init__(self, name, place, incarnation, address, random_state, now):
        info = node_info.NodeInfo(name, incarnation, address, place, "coast")
        self.gossip = gossip.Gossip(info, now)
        self.schedule = exchange_schedule.ExchangeSchedule(info, STEP_S, random_state, now)
        self.published = {}
        self.is_running = True
        self.paused_until = 0.0


class Schedule:
    """Runs one schedule and checks the views that result."""

    def __init__(self, seed):
        self._random = np.random.default_rng(seed)
        self._now = 0.0
        self._side = {}
        self._restarts = 0
        self.nodes = {}
        for index, place in enumerate(PLACES):
            self._start(f"n{index}", place)

    def run(self):
        """Run the faulty and the quiet phase; returns the violations."""
        while self._now < FAULTY_S:
            self._inject()
            self._step(loss=0.2)
        self._side = {}
        for node in self.nodes.values():
            node.paused_until = 0.0
        while self._now < FAULTY_S + QUIET_S:
            self._step(loss=0.0)
        return self._violations()

    def _inject(self):
        draw = self._random.random()
        name = list(self.nodes)[int(self._random.integers(len(self.nodes)))]
        node = self.nodes[name]
        if draw < 0.03:
            node.paused_until = self._now + float(self._random.choice([2, 10, 70]))
        elif draw < 0.05:
            self._start(name, node.gossip.info.place)
        elif draw < 0.06:
            node.is_running = False
        elif draw < 0.08:
            self._side = {name: int(self._random.integers(2)) for name in self.nodes}
        elif draw < 0.10:
            self._side = {}
        elif draw < 0.4 and node.is_running and node.paused_until <= self._now:
            scope = scopes.ALL[int(self._random.integers(2))]
            value = str(int(self._random.integers(1000))).encode()
            node.gossip.publish(f"{scope}-key", value, scope)
            node.published[f"{scope}-key"] = value

    def _start(self, name, place):
        """Start a node; some starts see a clock that went back."""
        self._restarts += 1
        incarnation = self._restarts if self._random.random() < 0.8 else 1
        index = int(name[1:])
        started = Node(name, place, incarnation, f"host-{index}", self._random, self._now)
        started.schedule.set_seeds([f"host-{other}" for other in range(2) if other != index])
        self.nodes[name] = started

    def _step(self, loss):
        self._now += STEP_S
        by_address = {node.gossip.info.address: node for node in self.nodes.values()}
        for node in self.nodes.values():
            if not self._runs(node):
                continue
            for record in node.gossip.tick(self._now):
                node.schedule.add_removed(record.info.address)
            for planned in node.schedule.due(node.gossip.members(), self._now):
                peer = by_address[planned.address]
                if self._runs(peer) and self._same_side(node, peer):
                    self._exchange(node, peer, planned.scope, loss)

    def _exchange(self, node, peer, scope, loss):
        request = node.gossip.open(scope, self._now)
        if self._random.random() < loss:
            return
        response = peer.gossip.answer(request, self._now)
        if self._random.random() < loss:
            return
        push = node.gossip.merge_response(response, self._now)
        if push is not None and self._random.random() >= loss:
            peer.gossip.merge_push(push, self._now)

    def _runs(self, node):
        return node.is_running and node.paused_until <= self._now

    def _same_side(self, node, peer):
        sides = self._side
        return sides.get(node.gossip.info.node_id) == sides.get(peer.gossip.info.node_id)

    def _violations(self):
        found = []
        running = {name for name, node in self.nodes.items() if node.is_running}
        for name in sorted(running):
            node = self.nodes[name]
            members = {item.node_id: item for item in node.gossip.members()}
            if set(members) != running:
                found.append(f"{name} knows {sorted(members)}, running are {sorted(running)}")
                continue
            for other_name, item in members.items():
                other = self.nodes[other_name]
                if item.state != member.LIVE:
                    found.append(f"{name} suspects {other_name}")
                if item.incarnation != other.gossip.info.incarnation:
                    found.append(f"{name} knows an old incarnation of {other_name}")
                found.extend(self._compare(node, other))
        return found

    def _compare(self, node, other):
        found = []
        own = node.gossip.info
        record = node.gossip.table.by_node(other.gossip.info.node_id)
        for key, value in other.published.items():
            if key.startswith(scopes.PLACE) and own.place != other.gossip.info.place:
                continue
            seen = record.entries.get(key)
            if seen is None or seen.value != value:
                found.append(f"{own.node_id} sees {seen} for {other.gossip.info.node_id} {value}")
        if own.place != other.gossip.info.place and "place-key" in record.entries:
            found.append(f"{own.node_id} received a place entry of {other.gossip.info.node_id}")
        return found
