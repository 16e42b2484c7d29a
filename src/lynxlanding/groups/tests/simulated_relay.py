"""Simulation of nodes that divide probes and relay results over an unreliable network.

The network loses, delays, repeats and reorders messages.
"""

import numpy as np

from lynxlanding.groups import (
    evidence_table,
    probe_coordinator,
    probe_result,
    relayed_evidence,
)
from lynxlanding.groups.tests import simulated_domain

# Nodes of the data centre that probe but do not manage the domain.
PROBE_NODES = ("c", "d", "e")
INTERVAL_S = 1.0
# Number of recent messages that may be delivered again.
RECENT_MESSAGE_COUNT = 30
RANDOM_VALUE_COUNT = 30000


class ArrivalTimeRelay(relayed_evidence.RelayedEvidence):
    """Faulty relay: uses the arrival of the message as the time of the probe."""

    def pop_results(self, now):
        results = []
        for result in super().pop_results(now):
            results.append(probe_result.ProbeResult(result.vm, "", now, result.report))
        return results


class SenderAgeOnlyRelay(relayed_evidence.RelayedEvidence):
    """Faulty relay: uses the age at the sender and ignores the transmission time."""

    def pop_results(self, now):
        for document in self._confirmations.values():
            self._clocks.record("any", document["clock"], now, document["at"])
        results = []
        for result in super().pop_results(now):
            ages = [
                document["age"]
                for node, document in self._confirmations.items()
                if result.vm in self._reports.get(node, {"reports": ()})["reports"]
            ]
            sent_at = now - min(ages, default=0.0)
            results.append(probe_result.ProbeResult(result.vm, "", sent_at, result.report))
        return results


class RelayNode:
    """Probe coordinator of one node, whose clock is offset from simulation time."""

    def __init__(self, name, table, clock_offset_s, relay_type):
        self.name = name
        self.clock_offset_s = clock_offset_s
        self.start_count = 0
        self.table = table
        self.relay_type = relay_type
        self.restart()

    def restart(self):
        """Start with a new clock and new document versions, like a restarted process."""
        self.start_count += 1
        self.clock = f"{self.name}/{self.start_count}"
        self.probes = probe_coordinator.ProbeCoordinator(
            self.name, None, self.clock, self.table, INTERVAL_S
        )
        self.probes._relayed = self.relay_type()

    def local_time(self, now):
        """Return the time of this node's clock at simulation time ``now``."""
        return now + self.clock_offset_s


class _OffsetEvidenceTable(evidence_table.EvidenceTable):
    """Evidence table on its node's clock that is queried with simulation time."""

    clock_offset_s = 0.0

    def is_alive(self, vm, now):
        return super().is_alive(vm, now + self.clock_offset_s)

    def is_lost(self, vm, now):
        return super().is_lost(vm, now + self.clock_offset_s)


class SimulatedRelay(simulated_domain.SimulatedDomain):
    """A ``SimulatedDomain`` with divided probes and relayed results."""

    def __init__(self, seed, *, relay_type=relayed_evidence.RelayedEvidence):
        super().__init__(seed, evidence_type=_OffsetEvidenceTable)
        self.random_values = iter(
            np.random.default_rng((seed, 1)).random(RANDOM_VALUE_COUNT).tolist()
        )
        self.relays = {}
        self.network = []
        self.recent_messages = []
        self.relayed_count = 0
        names = [node.name for node in self.nodes] + list(PROBE_NODES)
        tables = {node.name: node.evidence for node in self.nodes}
        for name in names:
            table = tables.get(name) or _OffsetEvidenceTable(self.nodes[0].evidence.rules)
            table.clock_offset_s = 1e4 * next(self.random_values)
            self.relays[name] = RelayNode(name, table, table.clock_offset_s, relay_type)
        self.probe_paused_until = dict.fromkeys(names, 0.0)

    def _inject_faults(self):
        super()._inject_faults()
        name = self.choose(PROBE_NODES)
        if self.chance(0.05):
            self.probe_paused_until[name] = self.now + 1 + 10 * next(self.random_values)
        if self.chance(0.02):
            self.relays[name].restart()

    def _deliver_orders(self):
        """Deliver orders, then run a probe round on each node that does not manage the domain."""
        super()._deliver_orders()
        for name in PROBE_NODES:
            if self.now >= self.probe_paused_until[name]:
                self._run_round(self.relays[name], is_partitioned=False)

    def _probe(self, node):
        relay = self.relays[node.name]
        self._run_round(relay, is_partitioned=self.now < node.partitioned_until)

    def _run_round(self, relay, is_partitioned):
        now = relay.local_time(self.now)
        # Node lists differ for some time after a node joined or left.
        nodes = [name for name in self.relays if name == relay.name or not self.chance(0.05)]
        relay.probes.set_nodes(nodes)
        self._read_clocks(relay, nodes, now, is_partitioned)
        self.relayed_count += len(
            relay.probes.record_relayed(self._receive(relay.name, is_partitioned), now)
        )
        targets = {vm.name: (vm.address, "place") for vm in self.vms.values()}
        targets_to_probe = set(relay.probes.assigned(targets)) | set(
            relay.probes.overdue(targets, (), now)
        )
        for name, address in sorted(targets_to_probe):
            vm = self.vms[name]
            is_reachable = (
                vm.is_running and self.now >= vm.unresponsive_until and not is_partitioned
            )
            report = vm.report() if is_reachable else None
            relay.probes.record(probe_result.ProbeResult(name, address, now, report))
        if is_partitioned:
            return
        for key, document in relay.probes.documents(targets, now).items():
            for other in self.relays:
                if other != relay.name:
                    self._send_document(other, (relay.name, key, document))

    def _read_clocks(self, relay, nodes, now, is_partitioned):
        for name in relay.probes.relayed.clocks.due_nodes(nodes, now, 10.0):
            if name == relay.name or is_partitioned or self.chance(0.2):
                continue
            # The other clock is read up to one second after the request was sent.
            other = self.relays[name]
            sent_at = now - next(self.random_values)
            relay.probes.relayed.record_clock(
                name, other.clock, sent_at, other.local_time(self.now)
            )

    def _send_document(self, to, message):
        if self.chance(0.1):
            return
        delay_s = 0.0 if self.chance(0.6) else 12 * next(self.random_values)
        self.network.append((self.now + delay_s, to, message))
        self.recent_messages = [*self.recent_messages[1 - RECENT_MESSAGE_COUNT :], (to, message)]
        if self.chance(0.15):
            to, message = self.choose(self.recent_messages)
            self.network.append((self.now + 6 * next(self.random_values), to, message))

    def _receive(self, name, is_partitioned):
        undelivered, delivered = [], []
        for due, to, message in self.network:
            if to != name or due > self.now or is_partitioned:
                undelivered.append((due, to, message))
                continue
            delivered.append(message)
        self.network = undelivered
        return delivered[::-1] if self.chance(0.3) else delivered
