"""Simulation of one fabric domain with two controllers under a seeded fault schedule."""

import numpy as np

from lynxlanding.errors import platform as platform_errors
from lynxlanding.groups import (
    desired_groups,
    domain,
    domain_controller,
    engine_report,
    evidence_rules,
    evidence_table,
    fixed_wait_policy,
    lease_rules,
    reconciler,
    repair_rules,
    serving,
    vm_view,
    weighted_policy,
)
from lynxlanding.store import vm as platform_vm

DOMAIN_NAME = "fabric-1"
VM_COUNT = 7
VMS_PER_GROUP = 3
STEPS = 50


class FakeDomainStore:
    """Store of one domain object, with conditional updates, outages and lost responses."""

    def __init__(self):
        self.domain = domain.Domain(DOMAIN_NAME)
        self.version = 0
        self.history = [self.domain]
        self.is_unavailable = False
        self.loses_next_response = False
        self.checks_version = True

    def read(self):
        if self.is_unavailable:
            raise platform_errors.StoreUnavailable("fault")
        return self.domain, self.version

    def write(self, changed, version):
        if self.is_unavailable:
            raise platform_errors.StoreUnavailable("fault")
        if self.checks_version and version != self.version:
            raise platform_errors.VersionConflict("fault")
        self.domain = changed
        self.version += 1
        self.history.append(changed)
        if self.loses_next_response:
            self.loses_next_response = False
            raise platform_errors.StoreOutcomeUnknown("fault")
        return self.version


class FakeVm:
    """A VM and its engine."""

    def __init__(self, name, checks_fencing_number):
        self.name = name
        self.address = f"{name}:8000"
        self.is_running = True
        self.unresponsive_until = 0.0
        self.checks_fencing_number = checks_fencing_number
        self.incarnation = 0
        self.group, self.epoch, self.version = "", 0, ""
        self.highest_term = 0
        self.loading = None
        self.last_matched_at = {}

    @property
    def instance(self):
        return f"{self.name}-{self.incarnation}"

    def restart(self, keeps_state):
        self.is_running = True
        self.incarnation += 1
        self.loading = None
        if not keeps_state:
            self.group, self.epoch, self.version = "", 0, ""

    def report(self):
        return engine_report.EngineReport(
            self.instance, self.group, self.epoch, "model", self.version
        )

    def accept(self, order, now, load_s):
        """Accept an order; return whether a stale order was accepted.

        Only engines that ignore the fencing number accept stale orders.
        """
        if not self.is_running:
            return False
        is_stale = order.fencing_number < self.highest_term
        if is_stale and self.checks_fencing_number:
            return False
        self.highest_term = max(self.highest_term, order.fencing_number)
        self.loading = (now + load_s, order)
        return is_stale

    def advance(self, now):
        if self.loading is not None and now >= self.loading[0] and self.is_running:
            order = self.loading[1]
            self.group, self.epoch, self.version = order.group, order.epoch, order.version
            self.loading = None
        if self.is_running and now >= self.unresponsive_until:
            self.last_matched_at[(self.group, self.epoch, self.instance)] = now


class FakeNode:
    """A node that controls the domain and routes requests to its groups."""

    def __init__(self, name, policy, rules, evidence_type):
        self.name = name
        self.evidence = evidence_type(evidence_rules.EvidenceRules())
        self.controller = domain_controller.DomainController(
            name, rules, reconciler.Reconciler(policy, repair_rules.RepairRules(40.0, 30.0))
        )
        self.version = 0
        self.paused_until = 0.0
        self.has_resumed = False
        self.partitioned_until = 0.0
        self.pending_orders = ()


class SimulatedDomain:
    """Runs one fault schedule and records violations of the invariants of groups.

    The invariants are that a group never serves without a matching engine on each of its VMs, and
    that its VMs do not change within an epoch. ``Domain.validate`` checks that no VM is in two
    groups.
    """

    def __init__(self, seed, *, rules=None, evidence_type=evidence_table.EvidenceTable):
        self.random_values = iter(np.random.default_rng(seed).random(4000).tolist())
        self.store = FakeDomainStore()
        checks_fencing_number = bool(seed % 2)
        self.vms = {}
        for index in range(VM_COUNT):
            name = f"vm-{index}"
            self.vms[name] = FakeVm(name, checks_fencing_number)
        policy = [
            fixed_wait_policy.FixedWaitPolicy(0.0),
            fixed_wait_policy.FixedWaitPolicy(1e9),
            weighted_policy.WeightedPolicy(3.0, 1.0),
        ][seed % 3]
        rules = rules or lease_rules.LeaseRules()
        self.nodes = [FakeNode(name, policy, rules, evidence_type) for name in ("a", "b")]
        self.desired = [
            desired_groups.DesiredGroups(
                "spec",
                "model",
                "v1",
                (),
                VMS_PER_GROUP,
                2,
                checks_fencing_number=checks_fencing_number,
            )
        ]
        self.leaving = set()
        self.vm_list = self.build_vm_list()
        self.orders_in_flight = []
        self.now = 0.0
        self.violations = []
        self.stale_orders = 0
        self.served_count = 0
        self.vms_by_epoch = {}
        self.checked_count = 0
        self.injects_faults = True
        self.store_unavailable_until = 0.0

    def chance(self, probability):
        return next(self.random_values) < probability

    def choose(self, items):
        return items[int(next(self.random_values) * len(items))]

    def run(self, steps=STEPS):
        for _ in range(steps):
            self.step()
            if self.violations:
                return self
        return self

    def step(self):
        self.now += 1.0
        if self.injects_faults:
            self._inject_faults()
        for vm in self.vms.values():
            vm.advance(self.now)
        self._deliver_orders()
        # The order varies, so that either controller may act first on a version.
        nodes = self.nodes if self.chance(0.5) else self.nodes[::-1]
        for node in nodes:
            if self.now < node.paused_until:
                node.has_resumed = True
                continue
            self._run_node(node)
        self._check_history()

    def build_vm_list(self):
        vm_list = []
        for vm in self.vms.values():
            state = platform_vm.LEAVING if vm.name in self.leaving else platform_vm.LIVE
            vm_list.append(platform_vm.Vm(vm.name, vm.address, "place", DOMAIN_NAME, 8, state))
        return vm_list

    def _inject_faults(self):
        self.store.is_unavailable = self.now < self.store_unavailable_until
        if self.chance(0.03):
            self.store_unavailable_until = self.now + 1 + 10 * next(self.random_values)
        self.store.loses_next_response = self.chance(0.08)
        vm = self.choose(list(self.vms.values()))
        if not vm.is_running:
            if self.chance(0.3):
                vm.restart(keeps_state=self.chance(0.5))
        elif self.chance(0.06):
            vm.is_running = False
        elif self.chance(0.05):
            vm.restart(keeps_state=self.chance(0.5))
        elif self.chance(0.05):
            vm.unresponsive_until = self.now + 8 * next(self.random_values)
        if self.chance(0.01):
            for failed_vm in self.vms.values():
                failed_vm.is_running = False
        if self.chance(0.02):
            self.leaving.add(vm.name)
        if self.chance(0.05):
            self.leaving.clear()
        if self.chance(0.1):
            self.vm_list = self.build_vm_list()
        node = self.choose(self.nodes)
        if self.chance(0.05):
            node.paused_until = self.now + 2 + 35 * next(self.random_values)
        if self.chance(0.03):
            node.partitioned_until = self.now + 8 * next(self.random_values)

    def _deliver_orders(self):
        undelivered = []
        for due, order in self.orders_in_flight:
            if due > self.now:
                undelivered.append((due, order))
                continue
            vm = self.vms[order.vm]
            self.stale_orders += vm.accept(order, self.now, 1 + 3 * next(self.random_values))
        self.orders_in_flight = undelivered

    def _run_node(self, node):
        has_resumed, node.has_resumed = node.has_resumed, False
        # A resumed node first sends its pending orders, before it reads or probes again.
        if has_resumed:
            self._send_orders(node, node.pending_orders)
            node.pending_orders = ()
        else:
            self._probe(node)
            self._read_domain(node)
        if node.controller.domain is not None:
            self._check_serving(node)
            self._run_controller(node)

    def _probe(self, node):
        for vm in self.vms.values():
            is_reachable = (
                vm.is_running
                and self.now >= vm.unresponsive_until
                and self.now >= node.partitioned_until
            )
            if is_reachable:
                node.evidence.record_success(vm.name, self.now, vm.report())
            else:
                node.evidence.record_failure(vm.name, self.now)

    def _read_domain(self, node):
        try:
            stored, node.version = self.store.read()
        except platform_errors.StoreUnavailable:
            return
        node.controller.observe(stored, self.now)

    def _run_controller(self, node):
        observations = vm_view.build(
            node.controller.domain, self.vm_list, node.evidence, (), self.now
        )
        drained = []
        for group in node.controller.domain.groups.values():
            if self.now - group.since > 5.0:
                drained.append(group.name)
        step = node.controller.step(observations, self.desired, self.now, self.now, drained=drained)
        if step.write is not None:
            node.controller.begin_write(step.write, self.now)
            try:
                node.version = self.store.write(step.write, node.version)
            except platform_errors.StoreOutcomeUnknown:
                return
            except platform_errors.PlatformError:
                node.controller.discard_write()
                return
            node.controller.confirm_write(step.write)
            return
        if step.orders and self.injects_faults and self.chance(0.1):
            # The node is paused after it decided on the orders and before it sends them.
            node.pending_orders = step.orders
            node.paused_until = self.now + 2 + 35 * next(self.random_values)
            return
        self._send_orders(node, step.orders)

    def _send_orders(self, node, orders):
        for order in orders:
            if not node.controller.may_send(order, self.now):
                continue
            self.orders_in_flight.append((self.now + 2 * next(self.random_values), order))
            node.controller.order_tracker.record_accepted(order, self.vms[order.vm].instance)

    def _check_serving(self, node):
        bound = node.evidence.rules.bound_s
        for group in node.controller.domain.groups.values():
            if not serving.check(group, node.evidence, self.now).serves:
                continue
            self.served_count += 1
            for name in group.vms:
                key = (group.name, group.epoch, group.instances.get(name))
                age = self.now - self.vms[name].last_matched_at.get(key, float("-inf"))
                if age > bound:
                    self.violations.append(
                        f"incomplete group: {group.name} served without {name} for {age} s"
                    )

    def _check_history(self):
        for stored in self.store.history[self.checked_count :]:
            stored.validate()
            for group in stored.groups.values():
                known = self.vms_by_epoch.setdefault((group.name, group.epoch), group.vms)
                if known != group.vms:
                    self.violations.append(
                        f"changed VMs: {group.name} epoch {group.epoch} has {known} and {group.vms}"
                    )
        self.checked_count = len(self.store.history)
