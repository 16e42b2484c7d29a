"""Serving evidence: probe results of this node and of other nodes."""

from lynxlanding.groups import vm_evidence


class EvidenceTable:
    """Newest probe result of each VM.

    The time of a result is the time before its probe was sent, so that a slow response never makes
    evidence appear fresher than it is. Results of other nodes are converted to the local clock.

    Parameters
    ----------
    rules : EvidenceRules
        Limits for evidence.
    """

    def __init__(self, rules):
        self._rules = rules
        self._vms = {}
        self._changed = set()

    @property
    def rules(self):
        """Limits for evidence."""
        return self._rules

    def record_success(self, vm, sent_at, report):
        """Record that a VM responded to a probe that was sent at ``sent_at``."""
        entry = self._vms.setdefault(vm, vm_evidence.VmEvidence())
        if sent_at <= entry.last_success_at:
            return
        was_expired = sent_at - entry.last_success_at > self._rules.bound_s
        was_failing = entry.failures > 0 or entry.refused_at >= entry.last_success_at
        if was_expired or was_failing or not report.equals_except_load(entry.report):
            self._changed.add(vm)
        entry.last_success_at = sent_at
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
            Whether the connection was refused. This shows that no engine listens, so the VM stops
            counting as alive at once; after a timeout it counts until its evidence expires.
        """
        entry = self._vms.setdefault(vm, vm_evidence.VmEvidence())
        if sent_at <= entry.last_success_at or sent_at <= entry.last_failure_at:
            return
        self._changed.add(vm)
        entry.last_failure_at = sent_at
        if entry.failures == 0:
            entry.first_failure_at = sent_at
        entry.failures += 1
        if is_refused:
            entry.refused_at = sent_at

    def record_remote(self, vm, age_s, report, now):
        """Record a successful probe of another node.

        Parameters
        ----------
        vm : str
            Name of the VM.
        age_s : float
            Age of the probe when the message was received, including the transmission time.
        report : EngineReport
            Report of the probe.
        now : float
            Monotonic time at which the message was received.
        """
        self.record_success(vm, now - max(age_s, 0.0), report)

    def forget(self, vm):
        """Remove a VM that no longer exists."""
        self._vms.pop(vm, None)
        self._changed.add(vm)

    def pop_changed(self):
        """Return and clear the set of VMs for which more than the load has changed."""
        changed, self._changed = self._changed, set()
        return changed

    def has_failures(self, vm):
        """Return whether a probe has failed since the newest successful probe of the VM."""
        entry = self._vms.get(vm)
        return entry is not None and entry.failures > 0

    def report(self, vm):
        """Return the newest report of a VM, or None."""
        entry = self._vms.get(vm)
        return entry.report if entry is not None else None

    def age_s(self, vm, now):
        """Return the age of the newest successful probe in seconds; infinite if there is none."""
        entry = self._vms.get(vm)
        return now - entry.last_success_at if entry is not None else float("inf")

    def is_alive(self, vm, now):
        """Return whether the newest successful probe is not older than the bound."""
        entry = self._vms.get(vm)
        if entry is None or entry.last_success_at == vm_evidence.NEVER:
            return False
        return (
            now - entry.last_success_at <= self._rules.bound_s
            and entry.refused_at < entry.last_success_at
        )

    def valid_until(self, vms):
        """Return the monotonic time at which the oldest evidence about the given VMs expires.

        The time is compared with a fresh clock when an endpoint is chosen, so that a node does not
        use a view from before a pause of its process.
        """
        oldest = float("inf")
        for vm in vms:
            entry = self._vms.get(vm)
            if entry is None:
                return vm_evidence.NEVER
            oldest = min(oldest, entry.last_success_at)
        return oldest + self._rules.bound_s

    def is_lost(self, vm, now):
        """Return whether recent probes show that the VM is lost; False if it was not probed."""
        entry = self._vms.get(vm)
        if entry is None or entry.failures < self._rules.failures_until_lost:
            return False
        if now - entry.last_failure_at > self._rules.bound_s:
            return False
        since = max(entry.last_success_at, entry.first_failure_at - self._rules.bound_s)
        return now - since > self._rules.bound_s
