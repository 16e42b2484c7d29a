"""G1 and G2 over seeded fault schedules, and the same schedules without each mechanism."""

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


def test_groups_hold_g1_and_g2_over_schedules():
    """Guards against service by an incomplete group, a VM in two groups, and stale orders.

    Half of the schedules have engines that ignore the fencing number; with the lease rules they
    get no order of an earlier holder after one of the next holder.
    """
    served = 0
    for seed in range(SCHEDULES):
        world = simulated_domain.DomainWorld(seed).run()
        assert world.violations == [], f"seed {seed}"
        assert world.stale_orders == 0, f"seed {seed}"
        served += world.served
    # Schedules in which nothing serves would show nothing.
    assert served > 20 * SCHEDULES


class _AgelessTable(evidence_table.EvidenceTable):
    def is_alive(self, vm, now):
        return self.report(vm) is not None


def test_g1_fails_when_old_evidence_counts():
    """Shows that the schedules need the bound on the age of evidence."""
    assert _first_violation("G1", table_type=_AgelessTable) is not None


def test_g1_fails_without_epoch_check(monkeypatch):
    """Shows that the schedules need the engines' report of group, epoch and instance."""
    monkeypatch.setattr(engine_report.EngineReport, "matches", lambda self, group: True)
    assert _first_violation("G1") is not None


def test_g1_fails_without_instance_check(monkeypatch):
    """Shows that an engine that comes back as if nothing happened is caught by its instance."""
    check = serving.check

    def check_any_instance(group, evidence, now):
        instances = {}
        for vm in group.vms:
            report = evidence.report(vm)
            instances[vm] = report.instance if report is not None else ""
        return check(dataclasses.replace(group, instances=instances), evidence, now)

    monkeypatch.setattr(serving, "check", check_any_instance)
    assert _first_violation("G1") is not None


def test_g2_fails_without_conditional_update(monkeypatch):
    """Shows that the schedules need the version check of the store."""
    write = simulated_domain.FakeCell.write

    def write_blindly(self, changed, version):
        return write(self, changed, self.version)

    monkeypatch.setattr(simulated_domain.FakeCell, "write", write_blindly)
    assert _first_violation("G2") is not None


def test_stale_orders_arrive_without_lease_rules(monkeypatch):
    """Shows that the schedules need the margin and the wait of a new holder."""
    monkeypatch.setattr(
        lease_manager.LeaseKeeper, "may_order", lambda self, now, checks: self.term > 0
    )
    monkeypatch.setattr(lease_manager.LeaseKeeper, "holds", lambda self, now: self.term > 0)
    monkeypatch.setattr(lease_manager.LeaseKeeper, "renewal_is_due", lambda self, now: False)
    for seed in range(0, SCHEDULES, 2):
        if simulated_domain.DomainWorld(seed).run().stale_orders > 0:
            return
    pytest.fail("no stale order was accepted")


def test_groups_recover_after_the_faults():
    """Guards against a domain that stays incomplete although enough VMs live."""
    for seed in range(40):
        world = simulated_domain.DomainWorld(seed).run()
        world.faults = False
        world.cell.unavailable = False
        world.cell.lose_next = False
        for vm in world.vms.values():
            if not vm.alive:
                vm.restart(keeps_state=False)
        world.leaving.clear()
        world.listed = world._listing()
        world.run(90)
        states = [group.state for group in world.cell.domain.groups.values()]
        assert states == [group_record.READY] * 2, f"seed {seed}"


def _first_violation(prefix, **options):
    for seed in range(SCHEDULES):
        for violation in simulated_domain.DomainWorld(seed, **options).run().violations:
            if violation.startswith(prefix):
                return seed, violation
    return None
