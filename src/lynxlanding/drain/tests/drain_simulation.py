"""Simulation of nodes that send requests to an endpoint while it leaves."""

import numpy as np

from lynxlanding.drain import leaving_table, release_rules, release_tracker
from lynxlanding.store import vm as platform_vm

TICK_S = 0.25
MAX_TIMEOUT_S = 20.0
PROPAGATION_S = 5.0
SOURCES = ("vm_list", "own_report", "drain_object", "gossip")


class SimulatedNode:
    """A node's leaving table and its requests in flight on the endpoint."""

    def __init__(self, name, table):
        self.name = name
        self.table = table
        self.end_times = []
        self.deadlines = []
        self.crashed = False
        self.silent = False


class DrainSimulation:
    """Seeded schedule in which an endpoint leaves.

    One source reports that the endpoint is leaving. The source lags, reverts to an earlier state
    for a while or is not visible to some nodes. A node may crash or not report.
    """

    def __init__(self, seed, *, table_type=leaving_table.LeavingTable, gossip=True):
        self.random = np.random.default_rng(seed)
        self.source = SOURCES[seed % 4]
        self.gossip = gossip
        self.nodes = [SimulatedNode(f"n{i}", table_type()) for i in range(3)]
        self.leaves_at = float(self.random.uniform(2, 6))
        # The VM list or the report reverts to an earlier state for a while, as lagging store
        # replicas do.
        self.reverts_at = self.leaves_at + float(self.random.uniform(1, 8))
        self.reverted_s = float(self.random.uniform(0, 10))
        # Only some nodes observe the source directly. The others, such as those separated from it
        # by a store outage or a partition, depend on gossip.
        self.observes_source = [bool(self.random.random() < 0.6) for _ in self.nodes]
        self.observes_source[int(self.random.integers(3))] = True
        self.source_delays = self.random.uniform(0, 1.5, 3).tolist()
        self.gossip_due_at = {}
        self.crashes_at = float(self.random.uniform(0, 60)) if self.random.random() < 0.3 else 1e9
        self.silent_node = int(self.random.integers(3)) if self.random.random() < 0.3 else None
        self.now = 0.0
        self.first_signal_at = None
        self.last_request_delay_s = 0.0
        self.tracker = None
        self.released_at = None
        self.aborted = 0
        self.random_values = iter(self.random.random(2000).tolist())

    def run(self):
        while self.now < 60.0 and self.released_at is None:
            self.now += TICK_S
            self._deliver_signals()
            for node in self.nodes:
                self._finish_requests(node)
                self._send_request(node)
            self._update_tracker()
        return self

    def _source_reports_leaving(self):
        reverted = self.reverts_at <= self.now < self.reverts_at + self.reverted_s
        return self.now >= self.leaves_at and not reverted

    def _deliver_signals(self):
        for index, node in enumerate(self.nodes):
            visible_from = self.leaves_at + self.source_delays[index]
            if self.observes_source[index] and self.now >= visible_from:
                self.observe_source(node)
            due_at = self.gossip_due_at.get(index)
            if self.gossip and due_at is not None and self.now >= due_at:
                node.table.record_signal("e:1", "gossip", self.now)
                self.gossip_due_at[index] = float("inf")
            if not node.table.is_leaving("e:1"):
                continue
            if self.first_signal_at is None:
                self.first_signal_at = self.now
            for receiver in range(3):
                self.gossip_due_at.setdefault(receiver, self.now + 1.0 + next(self.random_values))

    def observe_source(self, node):
        is_leaving = self._source_reports_leaving()
        if self.source == "vm_list":
            state = platform_vm.LEAVING if is_leaving else platform_vm.LIVE
            vms = [platform_vm.Vm("vm", "e:1", "place", "d", 8, state)]
            node.table.record_vm_list(vms, self.now)
        elif self.source == "own_report":
            node.table.record_report("e:1", "instance", is_leaving, self.now)
        elif self.source == "drain_object":
            # An accepted object never reverts to an earlier state.
            node.table.apply_drains(["e:1"] if self.now >= self.leaves_at else [], self.now)
        elif is_leaving:
            node.table.record_signal("e:1", "gossip", self.now)

    def _finish_requests(self, node):
        if self.now >= self.crashes_at and node is self.nodes[0]:
            node.crashed = True
            node.end_times, node.deadlines = [], []
        node.end_times = [end_time for end_time in node.end_times if end_time > self.now]

    def _send_request(self, node):
        if node.crashed or node.table.is_leaving("e:1") or next(self.random_values) > 0.5:
            return
        node.end_times.append(self.now + MAX_TIMEOUT_S * next(self.random_values) ** 2)
        node.deadlines.append(self.now + MAX_TIMEOUT_S)
        if self.first_signal_at is not None:
            self.last_request_delay_s = self.now - self.first_signal_at

    def _update_tracker(self):
        if self.first_signal_at is None:
            return
        if self.tracker is None:
            rules = release_rules.ReleaseRules(PROPAGATION_S, MAX_TIMEOUT_S)
            self.tracker = release_tracker.ReleaseTracker(
                self.now, [node.name for node in self.nodes], rules
            )
        for index, node in enumerate(self.nodes):
            if node.crashed or index == self.silent_node or not node.table.is_leaving("e:1"):
                continue
            self.tracker.record_report(
                node.name, len(node.end_times), max(node.deadlines, default=0.0)
            )
        if self.tracker.decide(self.now).is_released:
            self.released_at = self.now
            self.aborted = sum(len(node.end_times) for node in self.nodes)
