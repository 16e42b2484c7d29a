"""Version changes and wind-downs over seeded schedules."""

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


class _Fleet:
    """Domains whose engines load at once; requests run on each ready group."""

    def __init__(self, seed, domains, groups, spare):
        self.random = np.random.default_rng(seed)
        self.reconciler = reconciler.Reconciler(
            fixed_wait_policy.FixedWaitPolicy(0.0), repair_rules.RepairRules()
        )
        self.domains = {}
        self.vms = {}
        for index in range(domains):
            name = f"d{index}"
            self.domains[name] = domain.Domain(name)
            count = SIZE * groups // domains + (SIZE * spare if index == 0 else 0)
            self.vms[name] = [f"{name}-{number}" for number in range(count)]
        self.version = "v1"
        self.replicas = groups
        self.owed = 0
        self.in_flight = {}
        self.cut = 0
        self.lowest_serving = groups
        self.now = 0.0

    def ready(self):
        names = []
        for item in self.domains.values():
            for group in item.groups.values():
                if group.state == group_record.READY:
                    names.append(group.name)
        return names

    def is_done(self):
        for item in self.domains.values():
            for group in item.groups.values():
                if group.version != self.version or group.state != group_record.READY:
                    return False
        return len(self.ready()) == self.replicas

    def step(self, all_at_once=False):
        self.now += 1.0
        for name in self.ready():
            if self.random.random() < 0.5:
                self.in_flight[name] = self.now + float(self.random.uniform(0, 6))
        total = self._desired(self.replicas)
        capacities = []
        for name, item in self.domains.items():
            capacities.append(domain_capacity.measure(item, self._observe(name)))
        room = sum(capacity.free_vms // SIZE for capacity in capacities)
        plan = version_change.plan(total, self.domains.values(), self.ready(), self.owed, room)
        changing = self.ready() if all_at_once else plan.changing
        total = self._desired(self.replicas + plan.surge)
        allocation, _ = placement.allocate([total], capacities)
        for name in list(self.domains):
            desired = self._desired(allocation[name].get("spec", 0))
            self._reconcile(name, desired, changing)
        self.lowest_serving = min(self.lowest_serving, len(self.ready()))

    def _desired(self, replicas):
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
            if self.in_flight.get(group.name, 0.0) <= self.now:
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
            # The group's engines stop or load something else now.
            self.cut += self.in_flight.get(group.name, 0.0) > self.now


@pytest.mark.parametrize("spare", [0, 1])
def test_version_change_keeps_owed_capacity_and_cuts_nothing(spare):
    """Guards against a version change that goes below what is owed or cuts requests (G7)."""
    for seed in range(300):
        fleet = _Fleet(seed, domains=1 + seed % 2, groups=4, spare=spare)
        while not fleet.is_done():
            fleet.step()
        fleet.owed = 4 if spare else int(fleet.random.integers(1, 4))
        fleet.lowest_serving = 4
        fleet.version = "v2"
        for _ in range(80):
            fleet.step()
            if fleet.is_done():
                break
        assert fleet.is_done(), f"seed {seed}"
        assert fleet.lowest_serving >= fleet.owed, f"seed {seed}"
        assert fleet.cut == 0, f"seed {seed}"


def test_owed_capacity_is_lost_when_all_groups_change_at_once():
    """Shows that the schedules need the limit on changing groups."""
    fleet = _Fleet(0, domains=2, groups=4, spare=1)
    while not fleet.is_done():
        fleet.step()
    fleet.owed, fleet.version = 4, "v2"
    fleet.step(all_at_once=True)
    assert fleet.lowest_serving < fleet.owed


def test_requests_are_cut_when_groups_change_without_drain():
    """Shows that the schedules need the drain before the load (G7)."""
    cut = 0
    for seed in range(20):
        fleet = _Fleet(seed, domains=1, groups=4, spare=1)
        while not fleet.is_done():
            fleet.step()
        fleet.version = "v2"
        for _ in range(20):
            fleet.in_flight, running = {}, fleet.in_flight
            fleet.step()
            cut += any(end > fleet.now for end in running.values())
    assert cut > 0


def test_change_waits_with_a_warning_when_nothing_can_be_spared():
    """Guards against a silent stall, and against going below what is owed instead."""
    fleet = _Fleet(1, domains=1, groups=2, spare=0)
    while not fleet.is_done():
        fleet.step()
    fleet.version = "v2"
    plan = version_change.plan(fleet._desired(2), fleet.domains.values(), fleet.ready(), 2, 0)
    assert plan.changing == frozenset()
    assert "no VMs are free" in plan.warning


def _spec(*steps):
    entries = []
    for days, replicas in steps:
        entries.append({"at": DATE - datetime.timedelta(days=days), "replicas": replicas})
    return specs.WinddownSpec(model="m", date=DATE, steps=entries)


def test_winddown_is_never_below_what_is_owed():
    """Guards against a drain that starts before the capacity is no longer owed."""
    for seed in range(SCHEDULES):
        random = np.random.default_rng(seed)
        counts = sorted(random.integers(0, 20, 4).tolist(), reverse=True)
        spec = _spec(*zip((30, 20, 10, 2), counts, strict=True))
        owed = sorted(random.integers(0, 20, 3).tolist(), reverse=True)
        ends = sorted(random.uniform(0, 40, 3).tolist(), reverse=True)
        date = DATE.timestamp()

        def owed_at(wall_time, owed=owed, ends=ends, date=date):
            for count, days in zip(owed, ends, strict=True):
                if wall_time < date - days * 86400.0:
                    return count
            return 0

        plan = winddown_plan.WinddownPlan(spec, 20, owed_at, 605.0)
        before = 20
        for moment in np.linspace(date - 45 * 86400.0, date + 3600.0, 200):
            target = plan.target(float(moment))
            assert target <= before, f"seed {seed}"
            if moment < date:
                assert target >= min(20, owed_at(moment)), f"seed {seed}"
            else:
                assert target == 0
            before = target


def test_winddown_rows_show_drains_ahead_and_warnings():
    """Guards against a plan that operators cannot check ahead of time."""
    plan = winddown_plan.WinddownPlan(_spec((10, 6), (5, 2)), 10, lambda _: 4, 605.0)
    first, second, last = plan.rows(DATE.timestamp() - 30 * 86400.0, serving=3)
    assert (first.drains_ahead, first.drains_at_step) == (4, 0)
    assert first.first_drain_at == first.at - 605.0
    assert "3 replicas serve and 4 are owed" in first.warning
    assert (second.drains_ahead, second.drains_at_step) == (2, 2)
    assert "4 replicas are owed after the step to 2" in second.warning
    # Streams may outlive the date by the longest deadline.
    assert last.released_by == DATE.timestamp() + 605.0
    assert "owed beyond the shutdown date" in last.warning


def test_owed_replicas_follow_the_workspaces():
    """Guards against capacity that is owed beyond a workspace's date."""
    digest = "0" * 64
    until = datetime.datetime(2027, 1, 1, tzinfo=datetime.UTC)
    workspaces = [
        specs.WorkspaceSpec(token_sha256=[digest], owed_tokens_per_s=900, until=until),
        specs.WorkspaceSpec(token_sha256=[digest], owed_tokens_per_s=300),
    ]
    assert owed_capacity.owed_replicas(workspaces, 500.0, 9, until.timestamp() - 1) == 3
    assert owed_capacity.owed_replicas(workspaces, 500.0, 9, until.timestamp()) == 1
    assert owed_capacity.owed_replicas(workspaces, None, 9, until.timestamp()) == 9
