"""Serving evidence: probe results of this node and of others."""

from lynxlanding.groups import vm_evidence


class EvidenceTable:
    """Newest probe result of each VM.

    Times are counted from before a probe was sent, so that a slow response never makes a VM look
    younger than it is. A result of another node arrives with its age and is placed on this node's
    clock.

    Parameters
    ----------
    rules : EvidenceRules
        Bounds.
    """

    def __init__(self, rules):
        self._rules = rules
        self._vms = {}
        self._changed = set()

    @property
    def rules(self):
        """Bounds."""
        return self._rules

    def record_alive(self, vm, sent_at, report):
        """Record that a VM responded to a probe that was sent at ``sent_at``."""
        entry = self._vms.setdefault(vm, vm_evidence.VmEvidence())
        if sent_at <= entry.alive_at:
            return
        is_late = sent_at - entry.alive_at > self._rules.bound_s
        is_failing = entry.failures > 0 or entry.refused_at >= entry.alive_at
        if is_late or is_failing or not report.says_the_same(entry.report):
            self._changed.add(vm)
        entry.alive_at = sent_at
        entry.report = report
        if entry.last_failure_at <= sent_at:
            entry.failures = 0
            entry.first_failure_at = vm_evidence.NEVER

    def record_failure(self, vm, sent_at, *, is_refused=False):
        """Record that a probe failed.

        Parameters
        ----------
        vm : str
            Name of the VM.
        sent_at : float
            When the probe was sent.
        is_refused : bool, optional
            Whether the connection was refused. That shows that no engine listens, so the VM stops
            counting as alive at once; a timeout only lets its evidence grow older.
        """
        entry = self._vms.setdefault(vm, vm_evidence.VmEvidence())
        if sent_at <= entry.alive_at or sent_at <= entry.last_failure_at:
            return
        self._changed.add(vm)
        entry.last_failure_at = sent_at
        if entry.failures == 0:
            entry.first_failure_at = sent_at
        entry.failures += 1
        if is_refused:
            entry.refused_at = sent_at

    def record_other(self, vm, age_s, report, now):
        """Record a successful probe of another node.

        Parameters
        ----------
        vm : str
            Name of the VM.
        age_s : float
            Age of the probe when the message was received, including the time under way.
        report : EngineReport
            Report of the probe.
        now : float
            Monotonic time at which the message was received.
        """
        self.record_alive(vm, now - max(age_s, 0.0), report)

    def forget(self, vm):
        """Drop a VM that no longer exists."""
        self._vms.pop(vm, None)
        self._changed.add(vm)

    def take_changed(self):
        """Return the VMs about which something else than their load became known."""
        changed, self._changed = self._changed, set()
        return changed

    def has_failures(self, vm):
        """Return whether the newest probes of the VM failed."""
        entry = self._vms.get(vm)
        return entry is not None and entry.failures > 0

    def report(self, vm):
        """Return the newest report of a VM, or None."""
        entry = self._vms.get(vm)
        return entry.report if entry is not None else None

    def age_s(self, vm, now):
        """Return the age of the newest sign of life in seconds; infinite if there is none."""
        entry = self._vms.get(vm)
        return now - entry.alive_at if entry is not None else float("inf")

    def is_alive(self, vm, now):
        """Return whether the VM was seen alive within the bound; stale evidence is none."""
        entry = self._vms.get(vm)
        if entry is None or entry.alive_at == vm_evidence.NEVER:
            return False
        return now - entry.alive_at <= self._rules.bound_s and entry.refused_at < entry.alive_at

    def valid_until(self, vms):
        """Return the monotonic time at which the oldest evidence of some VMs expires.

        A node that was paused compares it with a fresh clock when it chooses an endpoint, and so
        uses no view from before the pause.
        """
        oldest = float("inf")
        for vm in vms:
            entry = self._vms.get(vm)
            if entry is None:
                return vm_evidence.NEVER
            oldest = min(oldest, entry.alive_at)
        return oldest + self._rules.bound_s

    def is_lost(self, vm, now):
        """Return whether probes show that the VM is lost, rather than not probed."""
        entry = self._vms.get(vm)
        if entry is None or entry.failures < self._rules.failures_to_lose:
            return False
        if now - entry.last_failure_at > self._rules.bound_s:
            return False
        since = max(entry.alive_at, entry.first_failure_at - self._rules.bound_s)
        return now - since > self._rules.bound_s
