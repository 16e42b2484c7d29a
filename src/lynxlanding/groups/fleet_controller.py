"""Control of all fabric domains by one node."""

from lynxlanding.drain import leaving_table, release_rules
from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import (
    domain_action,
    domain_controller,
    domain_views,
    evidence_table,
    fleet_planner,
    group_drains,
    probe_assignment,
    probe_coordinator,
    probe_targets,
    serving_view,
)
from lynxlanding.rollout import replica_targets

# Nodes delay work on domains whose lease they do not hold by different times up to this one, so
# that usually a single node does it.
TAKEOVER_SPREAD_S = 1.0


class FleetController:
    """One node's state of domains, VMs, evidence and leaving endpoints; performs no I/O.

    Parameters
    ----------
    node : str
        Name of the node.
    holder : str
        Node and incarnation, for leases.
    evidence_rules : EvidenceRules
        Limits for serving evidence.
    lease_rules : LeaseRules
        Durations of leases.
    reconciler : Reconciler
        Plans domain objects.
    tokens_per_s_per_replica : float or None
        Measured rate of one replica group.
    place : str, optional
        Data centre of the node. Its nodes divide the probes of its VMs.
    probe_interval_s : float, optional
        Interval between probes of one VM.
    """

    def __init__(
        self,
        node,
        holder,
        evidence_rules,
        lease_rules,
        reconciler,
        tokens_per_s_per_replica=None,
        place=None,
        probe_interval_s=1.0,
    ):
        self._node = node
        self._holder = holder
        self._lease_rules = lease_rules
        self._reconciler = reconciler
        self._tokens_per_s_per_replica = tokens_per_s_per_replica
        self._evidence = evidence_table.EvidenceTable(evidence_rules)
        self._probe_coordinator = probe_coordinator.ProbeCoordinator(
            node, place, holder, self._evidence, probe_interval_s
        )
        self._leaving = leaving_table.LeavingTable()
        self._views = domain_views.DomainViews(self._evidence, self._leaving)
        self._planner = fleet_planner.FleetPlanner(tokens_per_s_per_replica)
        self._group_drains = group_drains.GroupDrains(release_rules.ReleaseRules())
        self._nodes = (node,)
        self._vms = ()
        self._snapshot = None
        self._winddowns = {}
        self._controllers = {}
        self._versions = {}
        self._pending_since = {}

    @property
    def evidence(self):
        """Probe results, including those of other nodes."""
        return self._evidence

    @property
    def winddowns(self):
        """Wind-down plans by model."""
        return self._winddowns

    def set_configuration(self, snapshot, now):
        """Apply an accepted configuration; return newly leaving addresses."""
        self._snapshot = snapshot
        self._winddowns = replica_targets.winddown_plans(snapshot, self._tokens_per_s_per_replica)
        drains = [spec.address for spec in snapshot.of_kind("drains").values()]
        return self._leaving.apply_drains(drains, now)

    def update_vms(self, vms, now):
        """Update the VM list; return newly leaving addresses."""
        vms = tuple(vms)
        if vms != self._vms:
            self._vms = vms
        for vm in vms:
            if vm.fabric_domain not in self._controllers:
                self.update_domain(domain_module.Domain(vm.fabric_domain), None, now)
        return self._leaving.record_vm_list(vms, now)

    def update_domain(self, domain, version, now):
        """Update a domain object; versions older than the known one are ignored."""
        controller = self._controllers.get(domain.name)
        if controller is None:
            controller = domain_controller.DomainController(
                self._holder, self._lease_rules, self._reconciler
            )
            self._controllers[domain.name] = controller
            self._versions[domain.name] = None
        known = self._versions[domain.name]
        if known is not None and (version is None or version < known):
            return
        controller.observe(domain, now)
        self._versions[domain.name] = version

    def record_probes(self, results):
        """Record the results of probes.

        Parameters
        ----------
        results : list of ProbeResult
            Results in any order.
        """
        for result in results:
            self._probe_coordinator.record(result)
            if result.report is not None:
                self._group_drains.record_report(result.address, result.sent_at, result.report)
                self._update_leaving(result.address, result.sent_at, result.report)

    def record_relayed(self, received, now):
        """Record successful probes of other nodes of the data centre.

        They are not used to track drains, because the reported load is older than the probe.

        Parameters
        ----------
        received : list of tuple
            Node, key and content of each document, in order of arrival.
        now : float
            Monotonic time, in seconds.
        """
        accepted = self._probe_coordinator.record_relayed(received, now)
        targets = self._targets() if accepted else {}
        for result in accepted:
            if result.vm in targets:
                self._update_leaving(targets[result.vm][0], result.sent_at, result.report)

    def record_clock(self, node, clock, sent_at, remote_at):
        """Record a reading of another node's clock, as in ``ClockBounds.record``."""
        self._probe_coordinator.relayed.record_clock(node, clock, sent_at, remote_at)

    def set_probing_nodes(self, nodes, now, clock_interval_s):
        """Update the nodes that divide the probes; return those whose clock must be read."""
        self._probe_coordinator.set_nodes(nodes)
        other_nodes = [node for node in nodes if node != self._node]
        return self._probe_coordinator.relayed.clocks.due_nodes(other_nodes, now, clock_interval_s)

    def _update_leaving(self, address, sent_at, report):
        self._leaving.record_report(address, report.instance, report.is_draining, sent_at)

    def probe_targets(self):
        """Return name and address of the VMs that this node probes in each round."""
        return self._probe_coordinator.assigned(self._targets())

    def urgent_targets(self, now):
        """Return name and address of the VMs that must be probed before the next round.

        These are VMs of forming groups, and VMs whose evidence is overdue (see
        ``ProbeCoordinator.overdue``).
        """
        targets = dict(self._probe_coordinator.overdue(self._targets(), self._domains(), now))
        targets.update(probe_targets.forming(self._domains()))
        return list(targets.items())

    def evidence_documents(self, now):
        """Return the documents to publish to the other nodes of the data centre, by key."""
        return self._probe_coordinator.documents(self._targets(), now)

    def _targets(self):
        return probe_targets.known(self._domains(), self._vms)

    def _domains(self):
        return [self._controllers[name].domain for name in sorted(self._controllers)]

    def step(self, now, wall_time, in_flight):
        """Decide the next action of each domain.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        wall_time : float
            Wall-clock time, in seconds.
        in_flight : dict of str to int
            This node's requests in flight by address.

        Returns
        -------
        list of DomainAction
            At most one action for each domain.
        """
        if self._snapshot is None:
            return []
        domains = self._domains()
        self._views.refresh(domains, self._vms, now)
        observations = self._views.observations()
        serving = {endpoint.group for endpoint in self._views.endpoints()}
        desired, changing = self._planner.plan(
            self._snapshot, self._winddowns, self._views, domains, serving, wall_time
        )
        actions = []
        for name, controller in sorted(self._controllers.items()):
            inputs = (controller.domain, observations[name], desired[name])
            if not changing and self._planner.is_converged(name, inputs):
                continue
            step = controller.step(
                observations[name],
                desired[name],
                now,
                wall_time,
                drained=self._group_drains.drained(controller.domain, now, in_flight),
                changing=changing,
            )
            self._planner.record_step(name, inputs, step, self._holder)
            if step.write is None and not step.orders:
                self._pending_since.pop(name, None)
                continue
            if step.write is not None and controller.domain.lease.holder != self._holder:
                since = self._pending_since.setdefault(name, now)
                delay_s = probe_assignment.takeover_delay_s(name, self._node, TAKEOVER_SPREAD_S)
                if now - since < delay_s:
                    continue
            actions.append(
                domain_action.DomainAction(
                    name, step.write, self._versions[name], step.changes, step.orders
                )
            )
        return actions

    def begin_write(self, domain, now):
        """Record that a write is about to be sent."""
        self._controllers[domain.name].begin_write(domain, now)

    def confirm_write(self, domain, version):
        """Record that a write took effect."""
        self._pending_since.pop(domain.name, None)
        known = self._versions[domain.name]
        if known is not None and known > version:
            # The watch has already delivered a later change.
            self._controllers[domain.name].discard_write()
            return
        self._controllers[domain.name].confirm_write(domain)
        self._versions[domain.name] = version

    def discard_write(self, name):
        """Record that a write had no effect."""
        self._controllers[name].discard_write()

    def may_send(self, name, order, now):
        """Return whether an order may be sent; ``now`` is read right before sending."""
        return self._controllers[name].may_send(order, now)

    def record_order_accepted(self, name, order, instance):
        """Record that an engine accepted an order."""
        self._controllers[name].order_tracker.record_accepted(order, instance)

    def record_order_failed(self, name, order, now, is_delivered):
        """Record that an order was not confirmed."""
        self._controllers[name].order_tracker.record_failed(order, now, is_delivered=is_delivered)

    def leaving_notices(self):
        """Return the leaving signals observed by this node, for publication to other nodes."""
        return self._leaving.notices()

    def record_leaving_notices(self, document, now):
        """Record the leaving signals published by another node."""
        self._leaving.record_notices(document, now)

    def leaving_addresses(self):
        """Return the addresses of all leaving endpoints."""
        return self._leaving.addresses

    def leaving_sources(self):
        """Return the sources that report an endpoint as leaving, by address."""
        return self._leaving.sources()

    def endpoints(self, now):
        """Return a ``GroupEndpoint`` for each serving group."""
        self._views.refresh(self._domains(), self._vms, now)
        return self._views.endpoints()

    def status(self, now, wall_time):
        """Return a status row for each group, for operators."""
        rows = serving_view.status(self._domains(), self._evidence, self._leaving, now, wall_time)
        for row in rows:
            row["is_counted_here"] = probe_assignment.is_assigned(
                row["fabric_domain"], self._node, self._nodes
            )
        return rows
