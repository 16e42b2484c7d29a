import pytest

from lynxlanding.groups import (
    desired_groups,
    domain,
    domain_capacity,
    engine_report,
    evidence_rules,
    evidence_table,
    fixed_wait_policy,
    group_record,
    reconciler,
    repair_policy,
    repair_rules,
    repair_situation,
    vm_observation,
    vm_view,
    weighted_policy,
)
from lynxlanding.store import vm as platform_vm

POLICIES = [
    fixed_wait_policy.FixedWaitPolicy(0.0),
    fixed_wait_policy.FixedWaitPolicy(float("inf")),
    weighted_policy.WeightedPolicy(3.0, 1.0),
    weighted_policy.WeightedPolicy(1.0, 3.0),
]
BOUND_S = 120.0


class _DomainFixture:
    """A reconciled domain whose VMs report the expected state unless they are lost."""

    def __init__(self, policy, vms, groups, size=4):
        self.reconciler = reconciler.Reconciler(policy, repair_rules.RepairRules(BOUND_S, 900.0))
        self.desired = [desired_groups.DesiredGroups("spec", "model", "v1", (), size, groups)]
        self.names = [f"vm-{index}" for index in range(vms)]
        self.lost = set()
        self.leaving = set()
        self.domain = domain.Domain("d")
        self.run(0.0)
        self.run(1.0)

    def run(self, wall_time, **options):
        owners = self.domain.group_by_vm()
        observations = {}
        for name in self.names:
            report = engine_report.EngineReport(name)
            if name in owners:
                group = self.domain.groups[owners[name]]
                report = engine_report.EngineReport(
                    name, group.name, group.epoch, "model", group.version
                )
            is_lost = name in self.lost
            observations[name] = vm_observation.VmObservation(
                name, name, "place", 8, True, name in self.leaving, not is_lost, is_lost, report
            )
        plan = self.reconciler.plan(self.domain, observations, self.desired, wall_time, **options)
        if plan.domain is not None:
            self.domain = plan.domain
        return plan.changes

    def states(self):
        return sorted(group.state for group in self.domain.groups.values())


@pytest.mark.parametrize("policy", POLICIES)
def test_spare_replaces_lost_vm_with_next_epoch(policy):
    """Guards against reports of former members that still match a repaired group."""
    fixture = _DomainFixture(policy, vms=5, groups=1)
    (group,) = fixture.domain.groups.values()
    assert group.state == group_record.READY
    fixture.lost = {group.leader}
    fixture.run(10.0)
    (repaired,) = fixture.domain.groups.values()
    assert (repaired.epoch, repaired.state) == (group.epoch + 1, group_record.FORMING)
    assert group.leader not in repaired.vms
    assert repaired.leader in repaired.vms


@pytest.mark.parametrize("policy", POLICIES)
def test_accelerators_are_not_stranded_beyond_the_bound(policy):
    """Guards against an incomplete group that holds its accelerators indefinitely."""
    fixture = _DomainFixture(policy, vms=4, groups=1)
    fixture.lost = {"vm-0"}
    fixture.run(10.0)
    fixture.run(10.0 + BOUND_S + 1.0)
    assert fixture.domain.groups == {}


def test_returned_vm_completes_incomplete_group_without_reload():
    """Guards against a reload after a short pause or partition."""
    fixture = _DomainFixture(POLICIES[1], vms=4, groups=1)
    fixture.lost = {"vm-0"}
    fixture.run(10.0)
    assert fixture.states() == [group_record.INCOMPLETE]
    fixture.lost = set()
    fixture.run(20.0)
    (group,) = fixture.domain.groups.values()
    assert (group.state, group.epoch) == (group_record.READY, 1)


def test_freed_incomplete_group_completes_another():
    """Guards against two incomplete groups that wait although their VMs suffice for one."""
    fixture = _DomainFixture(POLICIES[2], vms=8, groups=2)
    first, second = sorted(fixture.domain.groups.values(), key=lambda group: group.name)
    fixture.lost = {first.vms[1], second.vms[1]}
    fixture.run(10.0)
    fixture.run(11.0)
    assert fixture.states() == [group_record.FORMING]


def test_weights_determine_the_wait():
    """Guards against a policy that ignores its weights."""
    waits = []
    for policy in POLICIES[2:]:
        waited = 0.0
        while waited < 2000.0:
            situation = repair_situation.RepairSituation(1, 0, 24, 32, waited)
            if policy.decide(situation) == repair_policy.FREE:
                break
            waited += 1.0
        waits.append(waited)
    assert waits[0] > waits[1]


def test_group_with_leaving_vm_is_drained_first():
    """Guards against a reload that aborts requests in flight."""
    fixture = _DomainFixture(POLICIES[0], vms=5, groups=1)
    (group,) = fixture.domain.groups.values()
    fixture.leaving = {group.vms[1]}
    fixture.run(10.0)
    fixture.run(60.0)
    assert fixture.states() == [group_record.DRAINING]
    fixture.run(61.0, drained=[group.name])
    (changed,) = fixture.domain.groups.values()
    assert changed.state == group_record.FORMING
    assert group.vms[1] not in changed.vms


def test_lost_fabric_domain_has_no_capacity():
    """Guards against groups that stay allocated to a lost fabric domain."""
    fixture = _DomainFixture(POLICIES[1], vms=8, groups=2)
    fixture.lost = set(fixture.names)
    fixture.run(10.0)
    observations = {
        name: vm_observation.VmObservation(name, name, "place", 8, is_lost=True)
        for name in fixture.names
    }
    capacity = domain_capacity.measure(fixture.domain, observations)
    assert (capacity.free_vms, capacity.groups) == (0, {})


def test_paused_node_declares_no_vm_lost():
    """Guards against a resumed node that replaces VMs because its evidence is old."""
    table = evidence_table.EvidenceTable(evidence_rules.EvidenceRules())
    table.record_success("vm", 0.0, engine_report.EngineReport("i"))
    assert not table.is_alive("vm", 100.0)
    # The probe that was in flight during the pause has timed out.
    table.record_failure("vm", 1.0)
    assert not table.is_lost("vm", 100.0)
    for sent_at in (101.0, 102.0, 103.0, 104.0):
        table.record_failure("vm", sent_at)
    assert table.is_lost("vm", 104.5)


def test_vm_held_by_another_domain_is_left_out():
    """Guards against a VM in groups of two fabric domains after the VM list has moved it."""
    listed = [platform_vm.Vm("vm", "a:1", "place", "d2", 8, platform_vm.LIVE)]
    table = evidence_table.EvidenceTable(evidence_rules.EvidenceRules())
    assert vm_view.build(domain.Domain("d2"), listed, table, (), 0.0, {"vm"}) == {}
    assert list(vm_view.build(domain.Domain("d2"), listed, table, (), 0.0)) == ["vm"]
