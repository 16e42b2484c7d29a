"""Nodes that divide probes and relay their results over a network that delays and repeats."""

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
# Newest copies of messages that may be delivered again.
KEPT_COPIES = 30
DRAWS = 30000


class ArrivalRelay(relayed_evidence.RelayedEvidence):
    """Planted fault: evidence counts from the arrival of the message that carries it."""

    def take_results(self, now):
        results = []
        for result in super().take_results(now):
            results.append(probe_result.ProbeResult(result.vm, "", now, result.report))
        return results


class SenderAgeRelay(relayed_evidence.RelayedEvidence):
    """Planted fault: the age at the sender counts, but not the time under way."""

    def take_results(self, now):
        for document in self._confirmations.values():
            self._clocks.record("any", document["clock"], now, document["at"])
        results = []
        for result in super().take_results(now):
            ages = [
                document["age"]
                for node, document in self._confirmations.items()
                if result.vm in self._reports.get(node, {"reports": ()})["reports"]
            ]
            sent_at = now - min(ages, default=0.0)
            results.append(probe_result.ProbeResult(result.vm, "", sent_at, result.report))
        return results


class RelayNode:
    """Share of the probes of one node; its clock differs from the clock of the world."""

    def __init__(self, name, table, offset, relay_type):
        self.name = name
        self.offset = offset
        self.start = 0
        self.table = table
        self.relay_type = relay_type
        self.restart()

    def restart(self):
        """Begin a new clock and new versions, as a process that was started again."""
        self.start += 1
        self.clock = f"{self.name}/{self.start}"
        self.share = probe_coordinator.ProbeShare(
            self.name, None, self.clock, self.table, INTERVAL_S
        )
        self.share._relayed = self.relay_type()

    def time(self, now):
        """Return this node's clock."""
        return now + self.offset


class _Shifted(evidence_table.EvidenceTable):
    """Evidence on the clock of its node, read at times of the world."""

    offset = 0.0

    def is_alive(self, vm, now):
        return super().is_alive(vm, now + self.offset)

    def is_lost(self, vm, now):
        return super().is_lost(vm, now + self.offset)


class RelayWorld(simulated_domain.DomainWorld):
    """As ``DomainWorld``, with divided probes."""

    def __init__(self, seed, *, relay_type=relayed_evidence.RelayedEvidence):
        super().__init__(seed, table_type=_Shifted)
        self.draws = iter(np.random.default_rng((seed, 1)).random(DRAWS).tolist())
        self.relays = {}
        self.network = []
        self.copies = []
        self.relayed = 0
        names = [node.name for node in self.nodes] + list(PROBE_NODES)
        tables = {node.name: node.evidence for node in self.nodes}
        for name in names:
            table = tables.get(name) or _Shifted(self.nodes[0].evidence.rules)
            table.offset = 1e4 * next(self.draws)
            self.relays[name] = RelayNode(name, table, table.offset, relay_type)
        self.probe_paused_until = dict.fromkeys(names, 0.0)

    def _inject(self):
        super()._inject()
        name = self.pick(PROBE_NODES)
        if self.chance(0.05):
            self.probe_paused_until[name] = self.now + 1 + 10 * next(self.draws)
        if self.chance(0.02):
            self.relays[name].restart()

    def _deliver(self):
        super()._deliver()
        for name in PROBE_NODES:
            if self.now >= self.probe_paused_until[name]:
                self._round(self.relays[name], is_cut=False)

    def _probe(self, node):
        relay = self.relays[node.name]
        self._round(relay, is_cut=self.now < node.cut_until)

    def _round(self, relay, is_cut):
        now = relay.time(self.now)
        # Node lists differ for a while when a node comes or goes.
        nodes = [name for name in self.relays if name == relay.name or not self.chance(0.05)]
        relay.share.set_nodes(nodes)
        self._read_clocks(relay, nodes, now, is_cut)
        self.relayed += len(relay.share.note_relayed(self._arrived(relay.name, is_cut), now))
        targets = {vm.name: (vm.address, "place") for vm in self.vms.values()}
        probed = set(relay.share.assigned(targets)) | set(relay.share.late(targets, (), now))
        for name, address in sorted(probed):
            vm = self.vms[name]
            heard = vm.alive and self.now >= vm.silent_until and not is_cut
            report = vm.report() if heard else None
            relay.share.record(probe_result.ProbeResult(name, address, now, report))
        if is_cut:
            return
        for key, document in relay.share.documents(targets, now).items():
            for other in self.relays:
                if other != relay.name:
                    self._send_document(other, (relay.name, key, document))

    def _read_clocks(self, relay, nodes, now, is_cut):
        for name in relay.share.relayed.clocks.due(nodes, now, 10.0):
            if name == relay.name or is_cut or self.chance(0.2):
                continue
            # The other clock is read up to a second after the request was sent.
            other = self.relays[name]
            sent_at = now - next(self.draws)
            relay.share.relayed.note_clock(name, other.clock, sent_at, other.time(self.now))

    def _send_document(self, to, message):
        if self.chance(0.1):
            return
        delay_s = 0.0 if self.chance(0.6) else 12 * next(self.draws)
        self.network.append((self.now + delay_s, to, message))
        self.copies = [*self.copies[1 - KEPT_COPIES :], (to, message)]
        if self.chance(0.15):
            to, message = self.pick(self.copies)
            self.network.append((self.now + 6 * next(self.draws), to, message))

    def _arrived(self, name, is_cut):
        waiting, arrived = [], []
        for due, to, message in self.network:
            if to != name or due > self.now or is_cut:
                waiting.append((due, to, message))
                continue
            arrived.append(message)
        self.network = waiting
        return arrived[::-1] if self.chance(0.3) else arrived
