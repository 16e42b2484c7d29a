"""Seeded simulations of rolling version changes and wind-downs."""

import datetime

import numpy as np
import pytest

from lynxlanding.configuration import specs
from lynxlanding.groups import (
    desired_groups,
    domain,
    domain_capacity,
    engine_report,
    fixed_wait_policy,
    group_record,
    placement,
    reconciler,
    repair_rules,
    vm_observation,
)
from lynxlanding.rollout import owed_capacity, version_change, winddown_plan

SCHEDULES = 1000
SIZE = 2
DATE = datetime.datetime(2027, 3, 1, tzinfo=datetime.UTC)


class _SimulatedFleet:
    """Fabric domains whose engines load at once, with requests on the ready groups."""

    def __init__(self, seed, domains, groups, spare_groups):
        self.random = np.random.default_rng(seed)
        self.reconciler = reconciler.Reconciler(
            fixed_wait_policy.FixedWaitPolicy(0.0), repair_rules.RepairRules()
        )
        self.domains = {}
        self.vms = {}
        for index in range(domains):
            name = f"d{index}"
            self.domains[name] = domain.Domain(name)
            count = SIZE * groups // domains + (SIZE * spare_groups if index == 0 else 0)
            self.vms[name] = [f"{name}-{number}" for number in range(count)]
        self.version = "v1"
        self.replicas = groups
        self.owed = 0
        self.busy_until = {}
        self.aborted = 0
        self.min_serving = groups
        self.now = 0.0

    def ready_groups(self):
        names = []
        for item in self.domains.values():
            for group in item.groups.values():
                if group.state == group_record.READY:
                    names.append(group.name)
        return names

    def is_converged(self):
        for item in self.domains.values():
            for group in item.groups.values():
                if group.version != self.version or group.state != group_record.READY:
                    return False
        return len(self.ready_groups()) == self.replicas

    def step(self, all_at_once=False):
        self.now += 1.0
        for name in self.ready_groups():
            if self.random.random() < 0.5:
                self.busy_until[name] = self.now + float(self.random.uniform(0, 6))
        desired_total = self.make_desired(self.replicas)
        capacities = []
        for name, item in self.domains.items():
            capacities.append(domain_capacity.measure(item, self._observe(name)))
        formable_groups = sum(capacity.free_vms // SIZE for capacity in capacities)
        plan = version_change.plan(
            desired_total, self.domains.values(), self.ready_groups(), self.owed, formable_groups
        )
        changing = self.ready_groups() if all_at_once else plan.changing
        desired_total = self.make_desired(self.replicas + plan.surge)
        allocation, _ = placement.allocate([desired_total], capacities)
        for name in list(self.domains):
            desired = self.make_desired(allocation[name].get("spec", 0))
            self._reconcile(name, desired, changing)
        self.min_serving = min(self.min_serving, len(self.ready_groups()))

    def make_desired(self, replicas):
        return desired_groups.DesiredGroups("spec", "m", self.version, (), SIZE, replicas)

    def _observe(self, name):
        owners = self.domains[name].group_by_vm()
        observations = {}
        for vm in self.vms[name]:
            report = engine_report.EngineReport(vm)
            if vm in owners:
                group = self.domains[name].groups[owners[vm]]
                report = engine_report.EngineReport(vm, group.name, group.epoch, "m", group.version)
            observations[vm] = vm_observation.VmObservation(
                vm, vm, "place", 8, is_alive=True, report=report
            )
        return observations

    def _reconcile(self, name, desired, changing):
        before = self.domains[name]
        drained = []
        for group in before.groups.values():
            if self.busy_until.get(group.name, 0.0) <= self.now:
                drained.append(group.name)
        plan = self.reconciler.plan(
            before,
            self._observe(name),
            [desired],
            self.now,
            drained=drained,
            changing=changing,
        )
        if plan.domain is None:
            return
        self.domains[name] = plan.domain
        for group in before.groups.values():
            after = plan.domain.groups.get(group.name)
            if after is not None and after.epoch == group.epoch:
                continue
            # The group is gone or has a new epoch: its engines stop or load another version now.
            self.aborted += self.busy_until.get(group.name, 0.0) > self.now


@pytest.mark.parametrize("spare_groups", [0, 1])
def test_version_change_keeps_owed_capacity_and_aborts_no_request(spare_groups):
    """Guards against a version change that undercuts the owed capacity or aborts requests."""
    for seed in range(300):
        fleet = _SimulatedFleet(seed, domains=1 + seed % 2, groups=4, spare_groups=spare_groups)
        while not fleet.is_converged():
            fleet.step()
        fleet.owed = 4 if spare_groups else int(fleet.random.integers(1, 4))
        fleet.min_serving = 4
        fleet.version = "v2"
        for _ in range(80):
            fleet.step()
            if fleet.is_converged():
                break
        assert fleet.is_converged(), f"seed {seed}"
        assert fleet.min_serving >= fleet.owed, f"seed {seed}"
        assert fleet.aborted == 0, f"seed {seed}"


def test_owed_capacity_is_lost_if_all_groups_change_at_once():
    """Shows that the number of groups that change at the same time must be limited."""
    fleet = _SimulatedFleet(0, domains=2, groups=4, spare_groups=1)
    while not fleet.is_converged():
        fleet.step()
    fleet.owed, fleet.version = 4, "v2"
    fleet.step(all_at_once=True)
    assert fleet.min_serving < fleet.owed


def test_requests_are_aborted_if_groups_change_without_drain():
    """Shows that groups must drain before they load another version."""
    aborted = 0
    for seed in range(20):
        fleet = _SimulatedFleet(seed, domains=1, groups=4, spare_groups=1)
        while not fleet.is_converged():
            fleet.step()
        fleet.version = "v2"
        for _ in range(20):
            fleet.busy_until, running = {}, fleet.busy_until
            fleet.step()
            aborted += any(end > fleet.now for end in running.values())
    assert aborted > 0


def test_change_waits_with_a_warning_if_no_group_can_be_spared():
    """Guards against a change that stalls without a warning or undercuts the owed capacity."""
    fleet = _SimulatedFleet(1, domains=1, groups=2, spare_groups=0)
    while not fleet.is_converged():
        fleet.step()
    fleet.version = "v2"
    plan = version_change.plan(
        fleet.make_desired(2), fleet.domains.values(), fleet.ready_groups(), 2, 0
    )
    assert plan.changing == frozenset()
    assert "no VMs are free" in plan.warning


def _make_spec(*steps):
    entries = []
    for days, replicas in steps:
        entries.append({"at": DATE - datetime.timedelta(days=days), "replicas": replicas})
    return specs.WinddownSpec(model="m", date=DATE, steps=entries)


def test_winddown_never_undercuts_owed_capacity():
    """Guards against draining capacity that is still owed."""
    for seed in range(SCHEDULES):
        random_state = np.random.default_rng(seed)
        counts = sorted(random_state.integers(0, 20, 4).tolist(), reverse=True)
        spec = _make_spec(*zip((30, 20, 10, 2), counts, strict=True))
        owed = sorted(random_state.integers(0, 20, 3).tolist(), reverse=True)
        ends = sorted(random_state.uniform(0, 40, 3).tolist(), reverse=True)
        date = DATE.timestamp()

        def owed_at(wall_time, owed=owed, ends=ends, date=date):
            for count, days in zip(owed, ends, strict=True):
                if wall_time < date - days * 86400.0:
                    return count
            return 0

        plan = winddown_plan.WinddownPlan(spec, 20, owed_at, 605.0)
        before = 20
        for wall_time in np.linspace(date - 45 * 86400.0, date + 3600.0, 200):
            target = plan.target_replicas(float(wall_time))
            assert target <= before, f"seed {seed}"
            if wall_time < date:
                assert target >= min(20, owed_at(wall_time)), f"seed {seed}"
            else:
                assert target == 0
            before = target


def test_winddown_rows_show_drains_ahead_and_warnings():
    """Guards against a plan that operators cannot check in advance."""
    plan = winddown_plan.WinddownPlan(_make_spec((10, 6), (5, 2)), 10, lambda _: 4, 605.0)
    first, second, last = plan.rows(DATE.timestamp() - 30 * 86400.0, serving=3)
    assert (first.drains_ahead, first.drains_at_step) == (4, 0)
    assert first.first_drain_at == first.at - 605.0
    assert "3 replicas serve and 4 are owed" in first.warning
    assert (second.drains_ahead, second.drains_at_step) == (2, 2)
    assert "4 replicas are owed after the step to 2" in second.warning
    # Streams may run beyond the date by up to the longest deadline.
    assert last.released_by == DATE.timestamp() + 605.0
    assert "owed beyond the shutdown date" in last.warning


def test_owed_replicas_follow_the_workspaces():
    """Guards against capacity that is owed after a workspace has ended."""
    digest = "0" * 64
    until = datetime.datetime(2027, 1, 1, tzinfo=datetime.UTC)
    workspaces = [
        specs.WorkspaceSpec(token_sha256=[digest], owed_tokens_per_s=900, until=until),
        specs.WorkspaceSpec(token_sha256=[digest], owed_tokens_per_s=300),
    ]
    assert owed_capacity.owed_replicas(workspaces, 500.0, 9, until.timestamp() - 1) == 3
    assert owed_capacity.owed_replicas(workspaces, 500.0, 9, until.timestamp()) == 1
    assert owed_capacity.owed_replicas(workspaces, None, 9, until.timestamp()) == 9
