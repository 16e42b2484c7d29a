"""Small fakes around two controllers of one fabric domain, driven by a seeded fault schedule."""

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

DOMAIN = "fabric-1"
VM_COUNT = 7
GROUP_VMS = 3
STEPS = 50


class FakeCell:
    """One domain object with conditional updates, an outage and lost responses."""

    def __init__(self):
        self.domain = domain.Domain(DOMAIN)
        self.version = 0
        self.history = [self.domain]
        self.unavailable = False
        self.lose_next = False
        self.checks_version = True

    def read(self):
        if self.unavailable:
            raise platform_errors.StoreUnavailable("fault")
        return self.domain, self.version

    def write(self, changed, version):
        if self.unavailable:
            raise platform_errors.StoreUnavailable("fault")
        if self.checks_version and version != self.version:
            raise platform_errors.VersionConflict("fault")
        self.domain = changed
        self.version += 1
        self.history.append(changed)
        if self.lose_next:
            self.lose_next = False
            raise platform_errors.StoreOutcomeUnknown("fault")
        return self.version


class FakeVm:
    """A VM and its engine."""

    def __init__(self, name, checks):
        self.name = name
        self.address = f"{name}:8000"
        self.alive = True
        self.silent_until = 0.0
        self.checks = checks
        self.incarnation = 0
        self.group, self.epoch, self.version = "", 0, ""
        self.highest_term = 0
        self.loading = None
        self.matched_at = {}

    @property
    def instance(self):
        return f"{self.name}-{self.incarnation}"

    def restart(self, keeps_state):
        self.alive = True
        self.incarnation += 1
        self.loading = None
        if not keeps_state:
            self.group, self.epoch, self.version = "", 0, ""

    def report(self):
        return engine_report.EngineReport(
            self.instance, self.group, self.epoch, "model", self.version
        )

    def accept(self, order, now, load_s):
        """Apply an order; return whether an engine that ignores the number took a stale one."""
        if not self.alive:
            return False
        stale = order.fencing_number < self.highest_term
        if stale and self.checks:
            return False
        self.highest_term = max(self.highest_term, order.fencing_number)
        self.loading = (now + load_s, order)
        return stale

    def tick(self, now):
        if self.loading is not None and now >= self.loading[0] and self.alive:
            order = self.loading[1]
            self.group, self.epoch, self.version = order.group, order.epoch, order.version
            self.loading = None
        if self.alive and now >= self.silent_until:
            self.matched_at[(self.group, self.epoch, self.instance)] = now


class FakeNode:
    """A controller that is also a gateway."""

    def __init__(self, name, policy, rules, table_type):
        self.name = name
        self.evidence = table_type(evidence_rules.EvidenceRules())
        self.controller = domain_controller.DomainController(
            name, rules, reconciler.Reconciler(policy, repair_rules.RepairRules(40.0, 30.0))
        )
        self.version = 0
        self.paused_until = 0.0
        self.resumed = False
        self.cut_until = 0.0
        self.pending_orders = ()


class DomainWorld:
    """Runs one schedule and records violations of G1 and G2."""

    def __init__(self, seed, *, rules=None, table_type=evidence_table.EvidenceTable):
        self.draws = iter(np.random.default_rng(seed).random(4000).tolist())
        self.cell = FakeCell()
        checks = bool(seed % 2)
        self.vms = {}
        for index in range(VM_COUNT):
            name = f"vm-{index}"
            self.vms[name] = FakeVm(name, checks)
        policy = [
            fixed_wait_policy.FixedWaitPolicy(0.0),
            fixed_wait_policy.FixedWaitPolicy(1e9),
            weighted_policy.WeightedPolicy(3.0, 1.0),
        ][seed % 3]
        rules = rules or lease_rules.LeaseRules()
        self.nodes = [FakeNode(name, policy, rules, table_type) for name in ("a", "b")]
        self.desired = [
            desired_groups.DesiredGroups(
                "spec", "model", "v1", (), GROUP_VMS, 2, checks_fencing_number=checks
            )
        ]
        self.leaving = set()
        self.listed = self._listing()
        self.under_way = []
        self.now = 0.0
        self.violations = []
        self.stale_orders = 0
        self.served = 0
        self.vms_by_epoch = {}
        self.checked_history = 0
        self.faults = True
        self.store_until = 0.0

    def chance(self, probability):
        return next(self.draws) < probability

    def pick(self, items):
        return items[int(next(self.draws) * len(items))]

    def run(self, steps=STEPS):
        for _ in range(steps):
            self.step()
            if self.violations:
                return self
        return self

    def step(self):
        self.now += 1.0
        if self.faults:
            self._inject()
        for vm in self.vms.values():
            vm.tick(self.now)
        self._deliver()
        # Both controllers may act on the same version.
        nodes = self.nodes if self.chance(0.5) else self.nodes[::-1]
        for node in nodes:
            if self.now < node.paused_until:
                node.resumed = True
                continue
            self._act(node)
        self._check_history()

    def _listing(self):
        listed = []
        for vm in self.vms.values():
            state = platform_vm.LEAVING if vm.name in self.leaving else platform_vm.LIVE
            listed.append(platform_vm.Vm(vm.name, vm.address, "place", DOMAIN, 8, state))
        return listed

    def _inject(self):
        self.cell.unavailable = self.now < self.store_until
        if self.chance(0.03):
            self.store_until = self.now + 1 + 10 * next(self.draws)
        self.cell.lose_next = self.chance(0.08)
        vm = self.pick(list(self.vms.values()))
        if not vm.alive:
            if self.chance(0.3):
                vm.restart(keeps_state=self.chance(0.5))
        elif self.chance(0.06):
            vm.alive = False
        elif self.chance(0.05):
            vm.restart(keeps_state=self.chance(0.5))
        elif self.chance(0.05):
            vm.silent_until = self.now + 8 * next(self.draws)
        if self.chance(0.01):
            for lost in self.vms.values():
                lost.alive = False
        if self.chance(0.02):
            self.leaving.add(vm.name)
        if self.chance(0.05):
            self.leaving.clear()
        if self.chance(0.1):
            self.listed = self._listing()
        node = self.pick(self.nodes)
        if self.chance(0.05):
            node.paused_until = self.now + 2 + 35 * next(self.draws)
        if self.chance(0.03):
            node.cut_until = self.now + 8 * next(self.draws)

    def _deliver(self):
        waiting = []
        for due, order in self.under_way:
            if due > self.now:
                waiting.append((due, order))
                continue
            vm = self.vms[order.vm]
            self.stale_orders += vm.accept(order, self.now, 1 + 3 * next(self.draws))
        self.under_way = waiting

    def _act(self, node):
        resumed, node.resumed = node.resumed, False
        # A node that resumes continues where it stopped, before it reads or probes anything.
        if resumed:
            self._send(node, node.pending_orders)
            node.pending_orders = ()
        else:
            self._probe(node)
            self._read(node)
        if node.controller.domain is not None:
            self._check_serving(node)
            self._control(node)

    def _probe(self, node):
        for vm in self.vms.values():
            heard = vm.alive and self.now >= vm.silent_until and self.now >= node.cut_until
            if heard:
                node.evidence.record_alive(vm.name, self.now, vm.report())
            else:
                node.evidence.record_failure(vm.name, self.now)

    def _read(self, node):
        try:
            stored, node.version = self.cell.read()
        except platform_errors.StoreUnavailable:
            return
        node.controller.observe(stored, self.now)

    def _control(self, node):
        observations = vm_view.build(
            node.controller.domain, self.listed, node.evidence, (), self.now
        )
        drained = []
        for group in node.controller.domain.groups.values():
            if self.now - group.since > 5.0:
                drained.append(group.name)
        step = node.controller.step(observations, self.desired, self.now, self.now, drained=drained)
        if step.write is not None:
            node.controller.begin_write(step.write, self.now)
            try:
                node.version = self.cell.write(step.write, node.version)
            except platform_errors.StoreOutcomeUnknown:
                return
            except platform_errors.PlatformError:
                node.controller.refuse_write()
                return
            node.controller.confirm_write(step.write)
            return
        if step.orders and self.faults and self.chance(0.1):
            # The node pauses between its decision and the sending of the orders.
            node.pending_orders = step.orders
            node.paused_until = self.now + 2 + 35 * next(self.draws)
            return
        self._send(node, step.orders)

    def _send(self, node, orders):
        for order in orders:
            if not node.controller.may_send(order, self.now):
                continue
            self.under_way.append((self.now + 2 * next(self.draws), order))
            node.controller.orders.note_accepted(order, self.vms[order.vm].instance)

    def _check_serving(self, node):
        bound = node.evidence.rules.bound_s
        for group in node.controller.domain.groups.values():
            if not serving.check(group, node.evidence, self.now).serves:
                continue
            self.served += 1
            for name in group.vms:
                key = (group.name, group.epoch, group.instances.get(name))
                age = self.now - self.vms[name].matched_at.get(key, float("-inf"))
                if age > bound:
                    self.violations.append(f"G1: {group.name} served without {name} for {age} s")

    def _check_history(self):
        for stored in self.cell.history[self.checked_history :]:
            stored.validate()
            for group in stored.groups.values():
                known = self.vms_by_epoch.setdefault((group.name, group.epoch), group.vms)
                if known != group.vms:
                    self.violations.append(
                        f"G2: {group.name} epoch {group.epoch} has {known} and {group.vms}"
                    )
        self.checked_history = len(self.cell.history)
