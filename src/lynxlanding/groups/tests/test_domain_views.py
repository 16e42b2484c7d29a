import dataclasses

import numpy as np
import pytest

from lynxlanding.groups import domain_views, vm_evidence
from lynxlanding.groups.tests import test_fleet_controller
from lynxlanding.store import vm

SCHEDULES = 60
STEPS = 50


class _Schedule:
    """A fleet with faults whose decisions are compared with a recomputation of everything."""

    def __init__(self, seed):
        self.random = np.random.default_rng(seed)
        self.fleet = test_fleet_controller._Fleet({"d0": 7, "d1": 7}, replicas=3)
        self.served = 0
        self.restarts = {}
        self.probe = self.fleet._probe
        self.fleet._probe = self._probe

    def _probe(self, item):
        result = self.probe(item)
        if result.report is None or item.name not in self.restarts:
            return result
        instance = f"{item.name}-{self.restarts[item.name]}"
        return dataclasses.replace(
            result, report=dataclasses.replace(result.report, instance=instance)
        )

    def run(self):
        controller = self.fleet.controller
        step = controller.step

        def checked_step(now, wall_time, in_flight):
            later = now + 0.9 * self.random.random()
            cached = controller.endpoints(later)
            fresh = domain_views.DomainViews(controller.evidence, controller._leaving)
            fresh.refresh(controller._domains(), controller._vms, later)
            names = [endpoint.group for endpoint in cached]
            assert names == [endpoint.group for endpoint in fresh.endpoints()]
            for endpoint, newest in zip(cached, fresh.endpoints(), strict=True):
                assert later <= endpoint.valid_until <= newest.valid_until
            self.served += len(cached)
            cached_observations = controller._views.observations()
            for name, observations in fresh.observations().items():
                assert cached_observations[name] == observations
            actions = step(later, wall_time, in_flight)
            decided = {action.name for action in actions}
            for name in controller._planner.settled:
                assert name not in decided
                controlled = controller._controllers[name]
                repeated = controlled.step(
                    fresh.observations()[name],
                    controller._planner._planned[0][name],
                    later,
                    wall_time,
                )
                assert repeated.write is None and not repeated.orders
            return actions

        controller.step = checked_step
        for _ in range(STEPS):
            self._inject()
            self.fleet.run(1)
        return self.served

    def _inject(self):
        names = [item.name for item in self.fleet.vms]
        if self.random.random() < 0.15:
            self.fleet.lost.add(str(self.random.choice(names)))
        if self.random.random() < 0.15:
            name = str(self.random.choice(names))
            self.restarts[name] = self.restarts.get(name, 0) + 1
        if self.fleet.lost and self.random.random() < 0.2:
            self.fleet.lost.pop()
        if self.random.random() < 0.05:
            index = int(self.random.integers(len(names)))
            old = self.fleet.vms[index]
            state = vm.LEAVING if old.state == vm.LIVE else vm.LIVE
            self.fleet.vms[index] = vm.Vm(
                old.name, old.address, old.place, old.fabric_domain, old.accelerators, state
            )


def test_cached_domains_equal_a_recomputation():
    """Guards against a serving list or a plan that keeps what no longer holds."""
    served = 0
    for seed in range(SCHEDULES):
        served += _Schedule(seed).run()
    assert served > 20 * SCHEDULES


def test_comparison_fails_when_changes_are_not_noticed(monkeypatch):
    """Shows that the schedules need the evidence table to name the VMs that changed."""
    monkeypatch.setattr(
        "lynxlanding.groups.evidence_table.EvidenceTable.take_changed", lambda self: set()
    )
    with pytest.raises(AssertionError):
        for seed in range(SCHEDULES):
            _Schedule(seed).run()


def test_relayed_sign_of_life_ends_a_gap():
    """Guards against a VM that stays missing though a late message closed the gap."""
    fleet = test_fleet_controller._Fleet({"d0": 3}, replicas=1)
    fleet.run(8)
    controller = fleet.controller
    seen_at = fleet.now
    assert len(controller.endpoints(seen_at + 2.9)) == 1
    assert controller.endpoints(seen_at + 3.1) == []
    for item in fleet.vms:
        controller.evidence.record_alive(
            item.name, seen_at + 2.9, controller.evidence.report(item.name)
        )
    (endpoint,) = controller.endpoints(seen_at + 3.2)
    assert endpoint.valid_until == pytest.approx(seen_at + 5.9)
    assert endpoint.valid_until > vm_evidence.NEVER
