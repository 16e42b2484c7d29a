"""One fabric domain over a seeded month of failures, with the product's reconciler."""

import heapq

from lynxlanding.groups import (
    desired_groups,
    domain,
    engine_report,
    group_record,
    reconciler,
    repair_rules,
    vm_observation,
)

DETECTION_S = 3.0
DRAIN_S = 30.0
POLL_S = 5.0
GROUP_VMS = 4


class RepairMonth:
    """Applies the events of one domain and integrates downtime and stranded accelerators.

    Parameters
    ----------
    policy : RepairPolicy
        Policy under test.
    vms, groups : int
        VMs of the domain and desired groups.
    accelerators : int
        Accelerators of one VM.
    load_s, stranded_bound_s : float
        Time to load a group, and the bound on stranding.
    """

    def __init__(self, policy, vms, groups, accelerators, load_s, stranded_bound_s):
        rules = repair_rules.RepairRules(stranded_bound_s, 10.0 * load_s)
        self._reconciler = reconciler.Reconciler(policy, rules)
        self._desired = [desired_groups.DesiredGroups("spec", "model", "v1", (), GROUP_VMS, groups)]
        self._accelerators = accelerators
        self._load_s = load_s
        self._bound_s = stranded_bound_s
        self._domain = domain.Domain("d")
        self._instances = {f"vm-{index}": 0 for index in range(vms)}
        self._down = {}
        self._leaving = set()
        self._loaded = {}
        self._queue = []
        self._sequence = 0
        self._now = 0.0
        self._measures = False
        self._next_poll_at = 0.0
        self.group_downtime_s = 0.0
        self.stranded_accelerator_s = 0.0
        self.free_accelerator_s = 0.0
        self.longest_stranded_s = 0.0

    def run(self, events, until):
        """Apply (time, kind, VM index, duration) events until a time, in seconds."""
        self._reconcile()
        self._drain_queue(10.0 * self._load_s)
        offset = self._now
        self._measures = True
        for at, kind, index, duration in events:
            self._push(offset + at, kind, f"vm-{index}", duration)
        self._drain_queue(offset + until)

    def _push(self, at, kind, vm="", value=None):
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, kind, vm, value))

    def _drain_queue(self, until):
        while self._queue and self._queue[0][0] <= until:
            at, _, kind, vm, value = heapq.heappop(self._queue)
            self._advance(at)
            self._apply(kind, vm, value)
        self._advance(until)

    def _advance(self, at):
        elapsed = at - self._now
        self._now = at
        if not self._measures or elapsed <= 0.0:
            return
        serving = 0
        in_groups = 0
        for group in self._domain.groups.values():
            down = [vm for vm in group.vms if vm in self._down]
            in_groups += len(group.vms)
            if group.state == group_record.READY and not down:
                serving += 1
                continue
            if down or group.state == group_record.INCOMPLETE:
                held = (len(group.vms) - len(down)) * self._accelerators
                self.stranded_accelerator_s += held * elapsed
        self.group_downtime_s += (self._desired[0].replicas - serving) * elapsed
        free = len(self._instances) - in_groups
        self.free_accelerator_s += max(0, free) * self._accelerators * elapsed

    def _apply(self, kind, vm, value):
        if kind in ("pause", "restart", "failure"):
            if vm in self._down:
                return
            self._down[vm] = self._now
            self._push(self._now + value, "return", vm, kind == "pause")
            self._push(self._now + DETECTION_S, "check")
            return
        if kind == "replacement":
            # The VM is announced as leaving; its successor comes ``value`` seconds later.
            self._leaving.add(vm)
            self._push(self._now + value, "successor", vm)
        elif kind == "successor":
            self._leaving.discard(vm)
            self._renew(vm)
        elif kind == "return":
            self._down.pop(vm, None)
            if not value:
                self._renew(vm)
        elif kind == "loaded":
            group, epoch = value
            held = self._domain.groups.get(group)
            if held is not None and held.epoch == epoch:
                for member in held.vms:
                    if member not in self._down:
                        self._loaded[member] = (group, epoch)
        self._reconcile()

    def _renew(self, vm):
        self._instances[vm] += 1
        self._loaded.pop(vm, None)

    def _reconcile(self):
        for _ in range(6):
            before = self._domain
            plan = self._reconciler.plan(
                before,
                self._observe(),
                self._desired,
                self._now,
                drained=self._drained(),
            )
            if plan.domain is None:
                break
            self._domain = plan.domain
            self._schedule(before)
        waiting = [
            group.since
            for group in self._domain.groups.values()
            if group.state == group_record.INCOMPLETE
        ]
        if waiting and self._next_poll_at <= self._now:
            bound_at = max(min(waiting) + self._bound_s, self._now) + 0.001
            self._next_poll_at = min(self._now + POLL_S, bound_at)
            self._push(self._next_poll_at, "check")

    def _schedule(self, before):
        for name, group in self._domain.groups.items():
            old = before.groups.get(name)
            if group.state == group_record.FORMING and (old is None or old.epoch != group.epoch):
                self._push(self._now + self._load_s, "loaded", "", (name, group.epoch))
            if group.state == group_record.DRAINING and old.state != group_record.DRAINING:
                self._push(self._now + DRAIN_S, "check")
        for name, group in before.groups.items():
            new = self._domain.groups.get(name)
            left = new is None or new.state != group_record.INCOMPLETE
            if group.state == group_record.INCOMPLETE and left:
                waited_s = self._now - group.since
                self.longest_stranded_s = max(self.longest_stranded_s, waited_s)

    def _drained(self):
        drained = []
        for group in self._domain.groups.values():
            if group.state == group_record.DRAINING and self._now - group.since >= DRAIN_S:
                drained.append(group.name)
        return drained

    def _observe(self):
        observations = {}
        for name, incarnation in self._instances.items():
            down_at = self._down.get(name)
            is_lost = down_at is not None and self._now - down_at >= DETECTION_S
            group, epoch = self._loaded.get(name, ("", 0))
            observations[name] = vm_observation.VmObservation(
                name,
                name,
                "place",
                self._accelerators,
                True,
                name in self._leaving,
                down_at is None,
                is_lost,
                engine_report.EngineReport(f"{name}-{incarnation}", group, epoch, "model", "v1"),
            )
        return observations
