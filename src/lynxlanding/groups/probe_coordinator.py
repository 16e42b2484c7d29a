"""Which VMs this node probes, and what it exchanges with the others of its data centre."""

from lynxlanding.groups import (
    evidence_publisher,
    group_record,
    probe_assignment,
    relayed_evidence,
)

# A VM whose newest sign of life is older than this share of the bound is probed by this node,
# whoever else is assigned: at a bound of 3 s that leaves 0.9 s for the probe.
LATE_SHARE = 0.7


class ProbeShare:
    """Division of the probes among the nodes of a data centre.

    Each node probes the VMs that are assigned to it, and every VM whose evidence grows old. So
    evidence stays fresh whoever vanished, whatever node lists the others have, and on nodes of
    other data centres, which receive no evidence from others.

    Parameters
    ----------
    node : str
        This node.
    place : str or None
        Data centre of this node; None if VMs of all data centres are divided.
    clock : str
        Identity of this node's clock, different after every start.
    evidence : EvidenceTable
        Receives the results.
    interval_s : float
        Interval between probes of one VM.
    """

    def __init__(self, node, place, clock, evidence, interval_s):
        self._node = node
        self._place = place
        self._evidence = evidence
        self._interval_s = interval_s
        self._nodes = (node,)
        self._assigned = {}
        self._probed_at = {}
        self._publisher = evidence_publisher.EvidencePublisher(clock, interval_s)
        self._relayed = relayed_evidence.RelayedEvidence()

    @property
    def relayed(self):
        """Documents and clocks of the other nodes."""
        return self._relayed

    def set_nodes(self, nodes):
        """Take over the live nodes of the data centre."""
        nodes = tuple(sorted(nodes))
        if nodes == self._nodes:
            return
        self._nodes = nodes
        self._assigned.clear()
        self._relayed.keep(nodes)

    def record(self, result):
        """Record a probe that this node sent."""
        probed_at = self._probed_at.get(result.vm, result.sent_at)
        self._probed_at[result.vm] = max(result.sent_at, probed_at)
        self._publisher.note(result)
        if result.report is not None:
            self._evidence.record_alive(result.vm, result.sent_at, result.report)
            return
        self._evidence.record_failure(result.vm, result.sent_at, is_refused=result.is_refused)

    def note_relayed(self, received, now):
        """Record documents of other nodes; return the results that are newer than the known."""
        for node, key, document in received:
            self._relayed.note(node, key, document)
        accepted = []
        for result in self._relayed.take_results(now):
            if self._evidence.age_s(result.vm, result.sent_at) <= 0:
                continue
            self._evidence.record_alive(result.vm, result.sent_at, result.report)
            accepted.append(result)
        return accepted

    def assigned(self, targets):
        """Return name and address of the VMs that are assigned to this node.

        Parameters
        ----------
        targets : dict of str to tuple of str
            Address and place by VM.
        """
        found = []
        for name, (address, place) in targets.items():
            if self._is_assigned(name, place):
                found.append((name, address))
        return found

    def late(self, targets, domains, now):
        """Return name and address of further VMs that this node must probe now.

        These are VMs whose evidence grows old, that another node could not reach, or whose engine
        tells when a draining group is idle. Each is probed at most once per interval.
        """
        late_s = self._evidence.rules.bound_s * LATE_SHARE
        wanted = self._relayed.suspected()
        for domain in domains:
            for group in domain.groups.values():
                if group.state == group_record.DRAINING:
                    wanted.add(group.leader)
        found = []
        for name, (address, _) in targets.items():
            if name not in wanted and self._evidence.age_s(name, now) <= late_s:
                continue
            if now - self._probed_at.get(name, float("-inf")) < self._interval_s:
                continue
            self._probed_at[name] = now
            found.append((name, address))
        return found

    def documents(self, targets, now):
        """Return the documents that are due for the other nodes, by key."""
        if len(self._nodes) <= probe_assignment.PROBERS:
            # Every node of the data centre probes all VMs.
            return {}
        assigned = {name for name, _ in self.assigned(targets)}
        return self._publisher.documents(assigned, now)

    def _is_assigned(self, name, place):
        if self._place is not None and place != self._place:
            return False
        found = self._assigned.get(name)
        if found is None:
            found = probe_assignment.is_assigned(name, self._node, self._nodes)
            self._assigned[name] = found
        return found
