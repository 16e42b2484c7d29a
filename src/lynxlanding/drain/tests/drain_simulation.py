"""Small fakes: nodes that send requests to endpoints, one of which leaves."""

import numpy as np

from lynxlanding.drain import leaving_table, release_rules, release_tracker
from lynxlanding.store import vm as platform_vm

TICK_S = 0.25
MAX_TIMEOUT_S = 20.0
NOTICE_S = 5.0
SOURCES = ("vm_list", "own_report", "drain_object", "gossip")


class FakeNode:
    """A node's leaving table and its requests in flight on the endpoint."""

    def __init__(self, name, table):
        self.name = name
        self.table = table
        self.ends = []
        self.deadlines = []
        self.crashed = False
        self.silent = False


class DrainWorld:
    """One schedule: an endpoint leaves by one source while the others lag, flip or fail."""

    def __init__(self, seed, *, table_type=leaving_table.LeavingTable, gossip=True):
        self.random = np.random.default_rng(seed)
        self.source = SOURCES[seed % 4]
        self.gossip = gossip
        self.nodes = [FakeNode(f"n{i}", table_type()) for i in range(3)]
        self.leaves_at = float(self.random.uniform(2, 6))
        # The VM list or the report goes back in time for a while, as lagging replicas do.
        self.flips_at = self.leaves_at + float(self.random.uniform(1, 8))
        self.flip_s = float(self.random.uniform(0, 10))
        # Only some nodes see the source themselves. The others, such as those that the store outage
        # or a partition separates from it, depend on the gossip notice.
        self.sees = [bool(self.random.random() < 0.6) for _ in self.nodes]
        self.sees[int(self.random.integers(3))] = True
        self.delays = self.random.uniform(0, 1.5, 3).tolist()
        self.gossip_due = {}
        self.crashes_at = float(self.random.uniform(0, 60)) if self.random.random() < 0.3 else 1e9
        self.silent_node = int(self.random.integers(3)) if self.random.random() < 0.3 else None
        self.now = 0.0
        self.first_signal_at = None
        self.last_new_s = 0.0
        self.tracker = None
        self.released_at = None
        self.cut = 0
        self.draws = iter(self.random.random(2000).tolist())

    def run(self):
        while self.now < 60.0 and self.released_at is None:
            self.now += TICK_S
            self._signal()
            for node in self.nodes:
                self._finish_requests(node)
                self._send_request(node)
            self._track()
        return self

    def _leaving_now(self):
        flipped = self.flips_at <= self.now < self.flips_at + self.flip_s
        return self.now >= self.leaves_at and not flipped

    def _signal(self):
        for index, node in enumerate(self.nodes):
            seen_from = self.leaves_at + self.delays[index]
            if self.sees[index] and self.now >= seen_from:
                self._observe(node)
            due = self.gossip_due.get(index)
            if self.gossip and due is not None and self.now >= due:
                node.table.note("e:1", "gossip", self.now)
                self.gossip_due[index] = float("inf")
            if not node.table.is_leaving("e:1"):
                continue
            if self.first_signal_at is None:
                self.first_signal_at = self.now
            for other in range(3):
                self.gossip_due.setdefault(other, self.now + 1.0 + next(self.draws))

    def _observe(self, node):
        leaving = self._leaving_now()
        if self.source == "vm_list":
            state = platform_vm.LEAVING if leaving else platform_vm.LIVE
            listed = [platform_vm.Vm("vm", "e:1", "place", "d", 8, state)]
            node.table.note_vm_list(listed, self.now)
        elif self.source == "own_report":
            node.table.note_report("e:1", "instance", leaving, self.now)
        elif self.source == "drain_object":
            # An accepted object does not go back in time.
            node.table.apply_drains(["e:1"] if self.now >= self.leaves_at else [], self.now)
        elif leaving:
            node.table.note("e:1", "gossip", self.now)

    def _finish_requests(self, node):
        if self.now >= self.crashes_at and node is self.nodes[0]:
            node.crashed = True
            node.ends, node.deadlines = [], []
        node.ends = [end for end in node.ends if end > self.now]

    def _send_request(self, node):
        if node.crashed or node.table.is_leaving("e:1") or next(self.draws) > 0.5:
            return
        node.ends.append(self.now + MAX_TIMEOUT_S * next(self.draws) ** 2)
        node.deadlines.append(self.now + MAX_TIMEOUT_S)
        if self.first_signal_at is not None:
            self.last_new_s = self.now - self.first_signal_at

    def _track(self):
        if self.first_signal_at is None:
            return
        if self.tracker is None:
            rules = release_rules.ReleaseRules(NOTICE_S, MAX_TIMEOUT_S)
            self.tracker = release_tracker.ReleaseTracker(
                self.now, [node.name for node in self.nodes], rules
            )
        for index, node in enumerate(self.nodes):
            if node.crashed or index == self.silent_node or not node.table.is_leaving("e:1"):
                continue
            self.tracker.note_report(node.name, len(node.ends), max(node.deadlines, default=0.0))
        if self.tracker.decide(self.now).is_released:
            self.released_at = self.now
            self.cut = sum(len(node.ends) for node in self.nodes)
