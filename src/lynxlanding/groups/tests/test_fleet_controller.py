from lynxlanding.configuration import kinds, snapshot, specs
from lynxlanding.groups import (
    engine_report,
    evidence_rules,
    fixed_wait_policy,
    fleet_controller,
    group_record,
    lease_rules,
    probe_result,
    reconciler,
    repair_rules,
)
from lynxlanding.store import vm

SIZE = 3


class _Fleet:
    """A single node that manages fabric domains whose engines load immediately."""

    def __init__(self, vms_by_domain, replicas):
        rules = repair_rules.RepairRules(300.0, 900.0)
        self.controller = fleet_controller.FleetController(
            "node",
            "node/1",
            evidence_rules.EvidenceRules(),
            lease_rules.LeaseRules(),
            reconciler.Reconciler(fixed_wait_policy.FixedWaitPolicy(float("inf")), rules),
        )
        objects = {kind: {} for kind in kinds.SPEC_BY_KIND}
        objects["models"]["m"] = specs.ModelSpec(version="v1", vms_per_replica=SIZE)
        objects["groups"]["g"] = specs.GroupSpec(model="m", replicas=replicas)
        self.controller.set_configuration(snapshot.Snapshot(1, "", objects), 0.0)
        self.vms = []
        for name, count in vms_by_domain.items():
            for index in range(count):
                address = f"{name}-{index}:1"
                self.vms.append(vm.Vm(f"{name}-{index}", address, "place", name, 8, "live"))
        self.lost = set()
        self.domains = {}
        self.now = 0.0
        self.version = 0

    def run(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            self.controller.update_vms(self.vms, self.now)
            self.controller.record_probes([self._probe(item) for item in self.vms])
            for action in self.controller.step(self.now, self.now, {}):
                for order in action.orders:
                    self.controller.record_order_accepted(action.name, order, "")
                if action.write is None:
                    continue
                self.version += 1
                self.controller.begin_write(action.write, self.now)
                self.controller.confirm_write(action.write, self.version)
                self.domains[action.name] = action.write

    def groups(self):
        found = []
        for name, domain in sorted(self.domains.items()):
            for group in domain.groups.values():
                found.append((name, group.state))
        return found

    def _probe(self, item):
        if item.name in self.lost:
            return probe_result.ProbeResult(item.name, item.address, self.now, None)
        report = engine_report.EngineReport(item.name)
        domain = self.domains.get(item.fabric_domain)
        for group in domain.groups.values() if domain is not None else ():
            if item.name in group.vms:
                report = engine_report.EngineReport(item.name, group.name, group.epoch, "m", "v1")
        return probe_result.ProbeResult(item.name, item.address, self.now, report)


def test_incomplete_group_waits_when_no_domain_has_capacity():
    """Guards against a placement that frees a group before its repair policy decides."""
    fleet = _Fleet({"d0": SIZE}, replicas=1)
    fleet.run(8)
    assert fleet.groups() == [("d0", group_record.READY)]
    fleet.lost = {"d0-1"}
    fleet.run(20)
    assert fleet.groups() == [("d0", group_record.INCOMPLETE)]
    fleet.lost = set()
    fleet.run(5)
    assert fleet.groups() == [("d0", group_record.READY)]


def test_groups_of_lost_domain_are_formed_in_another():
    """Guards against groups that stay in a lost fabric domain while another has capacity."""
    fleet = _Fleet({"d0": 2 * SIZE, "d1": 2 * SIZE}, replicas=2)
    fleet.run(8)
    assert fleet.groups() == [("d0", group_record.READY), ("d1", group_record.READY)]
    fleet.lost = {item.name for item in fleet.vms if item.fabric_domain == "d0"}
    fleet.run(20)
    assert fleet.groups() == [("d1", group_record.READY), ("d1", group_record.READY)]
    assert len(fleet.controller.endpoints(fleet.now)) == 2
