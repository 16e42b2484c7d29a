"""Division of probes among the nodes of a data centre and exchange of their results."""

from lynxlanding.groups import (
    evidence_publisher,
    group_record,
    probe_assignment,
    relayed_evidence,
)

# A VM whose newest successful probe is older than this fraction of the bound is probed by this node
# even if it is assigned to others. With a bound of 3 s this leaves 0.9 s for the probe.
OVERDUE_FRACTION = 0.7


class ProbeCoordinator:
    """Decides which VMs this node probes and exchanges results with other nodes.

    Each node probes the VMs that are assigned to it, and every VM whose evidence is overdue.
    Evidence therefore stays fresh when nodes fail, when nodes have different node lists, and on
    nodes of other data centres, which receive no results from other nodes.

    Parameters
    ----------
    node : str
        This node.
    place : str or None
        Data centre of this node; None to divide the VMs of all data centres.
    clock : str
        Identity of this node's clock, which changes with every start.
    evidence : EvidenceTable
        Table that the results are recorded in.
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
        """Documents and clock readings of the other nodes."""
        return self._relayed

    def set_nodes(self, nodes):
        """Update the live nodes of the data centre."""
        nodes = tuple(sorted(nodes))
        if nodes == self._nodes:
            return
        self._nodes = nodes
        self._assigned.clear()
        self._relayed.retain(nodes)

    def record(self, result):
        """Record the result of a probe sent by this node."""
        probed_at = self._probed_at.get(result.vm, result.sent_at)
        self._probed_at[result.vm] = max(result.sent_at, probed_at)
        self._publisher.record(result)
        if result.report is not None:
            self._evidence.record_success(result.vm, result.sent_at, result.report)
            return
        self._evidence.record_failure(result.vm, result.sent_at, is_refused=result.is_refused)

    def record_relayed(self, received, now):
        """Record documents of other nodes; return the results that are newer than known ones."""
        for node, key, document in received:
            self._relayed.record_document(node, key, document)
        accepted = []
        for result in self._relayed.pop_results(now):
            if self._evidence.age_s(result.vm, result.sent_at) <= 0:
                continue
            self._evidence.record_success(result.vm, result.sent_at, result.report)
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

    def overdue(self, targets, domains, now):
        """Return name and address of the VMs that this node must probe now, assigned or not.

        These are VMs whose evidence is overdue, VMs that another node could not reach, and leaders
        of draining groups, whose reports show when the group is idle. Each is probed at most once
        per interval.
        """
        overdue_age_s = self._evidence.rules.bound_s * OVERDUE_FRACTION
        wanted = self._relayed.suspected()
        for domain in domains:
            for group in domain.groups.values():
                if group.state == group_record.DRAINING:
                    wanted.add(group.leader)
        found = []
        for name, (address, _) in targets.items():
            if name not in wanted and self._evidence.age_s(name, now) <= overdue_age_s:
                continue
            if now - self._probed_at.get(name, float("-inf")) < self._interval_s:
                continue
            self._probed_at[name] = now
            found.append((name, address))
        return found

    def documents(self, targets, now):
        """Return the documents to publish to the other nodes now, by key."""
        if len(self._nodes) <= probe_assignment.PROBERS_PER_VM:
            # Every node of the data centre probes all VMs itself.
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
