"""Invariants of groups over seeded fault schedules, with and without each safety mechanism."""

import dataclasses

import pytest

from lynxlanding.groups import (
    engine_report,
    evidence_table,
    group_record,
    lease_manager,
    serving,
)
from lynxlanding.groups.tests import simulated_domain

SCHEDULES = 1000


def test_invariants_hold_over_schedules():
    """Guards against serving incomplete groups, a VM in two groups, and stale orders.

    In half of the schedules engines ignore the fencing number. The lease rules ensure that they
    receive no order of a previous lease holder after one of the next holder.
    """
    served_count = 0
    for seed in range(SCHEDULES):
        simulation = simulated_domain.SimulatedDomain(seed).run()
        assert simulation.violations == [], f"seed {seed}"
        assert simulation.stale_orders == 0, f"seed {seed}"
        served_count += simulation.served_count
    # The schedules only test something if groups serve.
    assert served_count > 20 * SCHEDULES


class _UnboundedEvidenceTable(evidence_table.EvidenceTable):
    def is_alive(self, vm, now):
        return self.report(vm) is not None


def test_incomplete_group_serves_without_evidence_bound():
    """Verifies that the schedules detect a missing bound on the age of evidence."""
    assert _first_violation("incomplete group", evidence_type=_UnboundedEvidenceTable) is not None


def test_incomplete_group_serves_without_epoch_check(monkeypatch):
    """Verifies that the schedules detect a missing comparison of reports with the group."""
    monkeypatch.setattr(engine_report.EngineReport, "matches", lambda self, group: True)
    assert _first_violation("incomplete group") is not None


def test_incomplete_group_serves_without_instance_check(monkeypatch):
    """Verifies that only the instance reveals an engine that restarted with its state."""
    check = serving.check

    def check_any_instance(group, evidence, now):
        instances = {}
        for vm in group.vms:
            report = evidence.report(vm)
            instances[vm] = report.instance if report is not None else ""
        return check(dataclasses.replace(group, instances=instances), evidence, now)

    monkeypatch.setattr(serving, "check", check_any_instance)
    assert _first_violation("incomplete group") is not None


def test_vms_change_within_epoch_without_conditional_update(monkeypatch):
    """Verifies that the schedules detect a store that does not check versions."""
    write = simulated_domain.FakeDomainStore.write

    def write_any_version(self, changed, version):
        return write(self, changed, self.version)

    monkeypatch.setattr(simulated_domain.FakeDomainStore, "write", write_any_version)
    assert _first_violation("changed VMs") is not None


def test_stale_orders_are_accepted_without_lease_rules(monkeypatch):
    """Verifies that the schedules detect missing order margins and takeover waits."""
    monkeypatch.setattr(
        lease_manager.LeaseManager,
        "may_send_order",
        lambda self, now, checks_fencing_number: self.term > 0,
    )
    monkeypatch.setattr(lease_manager.LeaseManager, "holds_lease", lambda self, now: self.term > 0)
    monkeypatch.setattr(lease_manager.LeaseManager, "renewal_is_due", lambda self, now: False)
    for seed in range(0, SCHEDULES, 2):
        if simulated_domain.SimulatedDomain(seed).run().stale_orders > 0:
            return
    pytest.fail("no stale order was accepted")


def test_groups_recover_after_the_faults():
    """Guards against groups that stay incomplete although enough VMs are alive."""
    for seed in range(40):
        simulation = simulated_domain.SimulatedDomain(seed).run()
        simulation.injects_faults = False
        simulation.store.is_unavailable = False
        simulation.store.loses_next_response = False
        for vm in simulation.vms.values():
            if not vm.is_running:
                vm.restart(keeps_state=False)
        simulation.leaving.clear()
        simulation.vm_list = simulation.build_vm_list()
        simulation.run(90)
        states = [group.state for group in simulation.store.domain.groups.values()]
        assert states == [group_record.READY] * 2, f"seed {seed}"


def _first_violation(kind, **options):
    for seed in range(SCHEDULES):
        for violation in simulated_domain.SimulatedDomain(seed, **options).run().violations:
            if violation.startswith(kind):
                return seed, violation
    return None
