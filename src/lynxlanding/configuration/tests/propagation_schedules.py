"""Simulates propagation between nodes on random schedules of faults, reproducible by seed.

Faults are store outages, paused nodes, partitions, restarts and delayed messages.
"""

import heapq

import numpy as np

from lynxlanding.configuration import propagation, propagation_decisions, propagation_status
from lynxlanding.membership import member
from lynxlanding.settings import daemon_settings

TIME_STEP_S = 0.5
FAULT_PHASE_S = 20.0
RECOVERY_PHASE_S = 15.0
UNCERTAIN_AFTER_S = 13.0
READ_TIMEOUT_S = 5.0
SETTINGS = daemon_settings.ConfigurationSettings(uncertain_after_s=UNCERTAIN_AFTER_S)
PLACES = ("a", "a", "a", "b", "b")
MEMBERS = {
    f"n{index}": member.Member(f"n{index}", 0, "", place, "", member.LIVE)
    for index, place in enumerate(PLACES)
}


class Node:
    """One simulated node: its ``Propagation`` and the state that the checks need."""

    def __init__(self, name, place, random_state, now, propagation_class):
        self.name = name
        self.place = place
        self.started_at = now
        self.paused_until = 0.0
        self.is_watching = False
        self.adopted_number = 0
        self.min_peer_number = 0
        self.has_read_head = False
        self.read_number = 0
        self.members = None
        self.propagation = propagation_class(name, place, SETTINGS, random_state, now)


class Schedule:
    """Runs one schedule and collects violations.

    A node must adopt only accepted revisions, never revert, start only with a recent revision, be
    certain only while its revision is recent, and reach the head after the faults end.
    """

    def __init__(self, seed, propagation_class=propagation.Propagation):
        self.violations = []
        self._random = np.random.default_rng(seed)
        self._propagation_class = propagation_class
        self._now = 100.0
        self._heads = [(0, "", self._now)]
        self._messages = []
        self._sequence = 0
        self._nodes = {}
        self._without_store = set()
        self._partition = {}
        self._faults_end_at = 0.0
        for index, place in enumerate(PLACES):
            self._start_node(f"n{index}", place)

    def run(self):
        """Run the fault phase and the recovery phase; returns the violations."""
        end = self._now + FAULT_PHASE_S
        while self._now < end:
            self._inject_fault()
            self._step()
        self._without_store, self._partition = set(), {}
        for node in self._nodes.values():
            node.paused_until = 0.0
        end = self._now + RECOVERY_PHASE_S
        while self._now < end:
            self._step()
        number = self._heads[-1][0]
        for node in self._nodes.values():
            status = node.propagation.status(self._now)
            if (status.number, status.state) != (number, propagation_status.CERTAIN):
                self.violations.append(f"{node.name} ends as {status}, head {number}")
        return self.violations

    def _inject_fault(self):
        sample = self._random.random()
        names = list(self._nodes)
        name = names[int(self._random.random() * len(names))]
        if sample < 0.10:
            number = self._heads[-1][0] + 1
            self._heads.append((number, f"d{number}", self._now))
        elif sample < 0.14:
            self._nodes[name].paused_until = self._now + float(self._random.uniform(1, 20))
        elif sample < 0.17:
            self._start_node(name, self._nodes[name].place)
        elif sample < 0.20:
            chosen = self._random.random(len(names)) < self._random.choice([0.5, 1.0])
            self._without_store = {names[i] for i in range(len(names)) if chosen[i]}
            self._faults_end_at = self._now + float(self._random.uniform(2, 20))
        elif sample < 0.23:
            self._partition = {name: int(self._random.integers(2)) for name in names}
            self._faults_end_at = self._now + float(self._random.uniform(2, 20))
        if self._now > self._faults_end_at:
            self._without_store, self._partition = set(), {}

    def _step(self):
        self._now += TIME_STEP_S
        while self._messages and self._messages[0][0] <= self._now:
            _, _, name, started_at, deliver = heapq.heappop(self._messages)
            node = self._nodes[name]
            if node.started_at != started_at:
                continue
            if node.paused_until > self._now:
                self._send(node, node.paused_until, deliver)
                continue
            self._execute(node, deliver(node.propagation))
        for node in list(self._nodes.values()):
            if node.paused_until > self._now:
                continue
            self._update_members(node)
            self._execute(node, node.propagation.on_tick(self._now))
            if node.is_watching and self._random.random() < TIME_STEP_S / 2:
                self._read_head(node)
            self._exchange(node)
            self._check_status(node)

    def _update_members(self, node):
        members = []
        for other in self._nodes.values():
            if other.paused_until <= self._now and self._reaches(node, other):
                members.append(MEMBERS[other.name])
        if members != node.members:
            node.members = members
            self._execute(node, node.propagation.on_members(members, self._now))

    def _start_node(self, name, place):
        numbers = []
        for other in self._nodes.values():
            if other.name != name and other.propagation.revision_report(self._now) is not None:
                numbers.append(other.propagation.number)
        node = Node(name, place, self._random, self._now, self._propagation_class)
        node.min_peer_number = min(numbers, default=0)
        self._nodes[name] = node

    def _reaches(self, node, other):
        return self._partition.get(node.name) == self._partition.get(other.name)

    def _delay(self):
        if self._random.random() < 0.05:
            return 1 + 19 * self._random.random()
        return 0.3 * self._random.random()

    def _send(self, node, at, deliver):
        self._sequence += 1
        heapq.heappush(self._messages, (at, self._sequence, node.name, node.started_at, deliver))

    def _exchange(self, node):
        others = [other for other in self._nodes.values() if other is not node]
        other = others[int(self._random.random() * len(others))]
        if other.paused_until > self._now or not self._reaches(node, other):
            return
        sent_at, arrives_at = self._now, self._now + self._delay()
        request_report = node.propagation.revision_report(sent_at)
        if request_report is not None:
            self._send(
                other,
                arrives_at,
                lambda propagation_state: propagation_state.on_revision_report(
                    node.name, request_report, None, self._now
                ),
            )
        # The age in the response is taken when the request is sent; the response arrives later.
        response_report = other.propagation.revision_report(sent_at)
        if response_report is None:
            return
        self._send(
            node,
            arrives_at + self._delay(),
            lambda propagation_state: propagation_state.on_revision_report(
                other.name, response_report, sent_at, self._now
            ),
        )

    def _read_head(self, node):
        if node.name in self._without_store:
            self._send(
                node,
                self._now + 0.5,
                lambda propagation_state: propagation_state.on_head_failed(self._now),
            )
            return
        number, digest, _ = self._heads[-1]
        read_at = self._now

        def deliver(propagation_state):
            if self._now - read_at <= propagation.START_WAIT_S:
                node.has_read_head, node.read_number = True, max(number, node.read_number)
            return propagation_state.on_head(number, digest, read_at, self._now)

        delay = self._delay()
        if delay > READ_TIMEOUT_S:
            # The store client times out; a longer read occurs only if the node is paused.
            at = self._now + READ_TIMEOUT_S
            self._send(
                node, at, lambda propagation_state: propagation_state.on_head_failed(self._now)
            )
            return
        self._send(node, self._now + delay, deliver)

    def _execute(self, node, decisions):
        for decision in decisions:
            match decision:
                case propagation_decisions.SetWatching():
                    node.is_watching = decision.is_watching
                case propagation_decisions.ReadHead():
                    self._read_head(node)
                case propagation_decisions.Fetch():
                    self._fetch(node, decision)
                case propagation_decisions.Adopt():
                    self._check_adoption(node, decision)
                case propagation_decisions.Started():
                    self._check_start(node)

    def _fetch(self, node, fetch):
        if fetch.source == propagation_decisions.STORE:
            can_load = node.name not in self._without_store
        else:
            source = self._nodes[fetch.source]
            can_load = source.propagation.number >= fetch.number and self._reaches(node, source)
            can_load = can_load and source.paused_until <= self._now
        if can_load:
            self._send(
                node,
                self._now + self._delay(),
                lambda propagation_state: propagation_state.on_fetched(
                    fetch.number, fetch.digest, self._now
                ),
            )
            return
        self._send(
            node,
            self._now + 0.3,
            lambda propagation_state: propagation_state.on_fetch_failed(
                fetch.digest, fetch.source, self._now
            ),
        )

    def _check_adoption(self, node, adoption):
        previous_number = node.adopted_number
        if adoption.number <= previous_number:
            self.violations.append(
                f"{node.name} reverts from {previous_number} to {adoption.number}"
            )
        if (adoption.number, adoption.digest) != self._heads[adoption.number][:2]:
            self.violations.append(f"{node.name} adopts {adoption}, which was not accepted")
        node.adopted_number = adoption.number

    def _check_start(self, node):
        if node.propagation.number < node.read_number:
            self.violations.append(f"{node.name} starts below the head that it read")
        if node.has_read_head:
            return
        if node.propagation.number < node.min_peer_number:
            self.violations.append(
                f"{node.name} starts with {node.propagation.number},"
                f" its peers held {node.min_peer_number}"
            )

    def _check_status(self, node):
        status = node.propagation.status(self._now)
        if status.state != propagation_status.CERTAIN:
            return
        if status.number + 1 < len(self._heads):
            superseded_at = self._heads[status.number + 1][2]
            if self._now - superseded_at > UNCERTAIN_AFTER_S:
                self.violations.append(
                    f"{node.name} is certain of {status.number},"
                    f" superseded {self._now - superseded_at} s ago"
                )
