import dataclasses

import numpy as np
import pytest

from lynxlanding.groups import domain_views, vm_evidence
from lynxlanding.groups.tests import test_fleet_controller
from lynxlanding.store import vm

SCHEDULES = 60
STEPS = 50


class _Schedule:
    """A fleet with faults whose cached decisions are compared with a full recomputation."""

    def __init__(self, seed):
        self.random = np.random.default_rng(seed)
        self.fleet = test_fleet_controller._Fleet({"d0": 7, "d1": 7}, replicas=3)
        self.served_count = 0
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
            checked_at = now + 0.9 * self.random.random()
            cached = controller.endpoints(checked_at)
            fresh = domain_views.DomainViews(controller.evidence, controller._leaving)
            fresh.refresh(controller._domains(), controller._vms, checked_at)
            names = [endpoint.group for endpoint in cached]
            assert names == [endpoint.group for endpoint in fresh.endpoints()]
            for endpoint, fresh_endpoint in zip(cached, fresh.endpoints(), strict=True):
                assert checked_at <= endpoint.valid_until <= fresh_endpoint.valid_until
            self.served_count += len(cached)
            cached_observations = controller._views.observations()
            for name, observations in fresh.observations().items():
                assert cached_observations[name] == observations
            actions = step(checked_at, wall_time, in_flight)
            decided = {action.name for action in actions}
            for name in controller._planner.converged:
                assert name not in decided
                domain_controller = controller._controllers[name]
                repeated = domain_controller.step(
                    fresh.observations()[name],
                    controller._planner._last_plan[0][name],
                    checked_at,
                    wall_time,
                )
                assert repeated.write is None and not repeated.orders
            return actions

        controller.step = checked_step
        for _ in range(STEPS):
            self._inject_faults()
            self.fleet.run(1)
        return self.served_count

    def _inject_faults(self):
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


def test_cached_views_equal_a_full_recomputation():
    """Guards against outdated endpoints, observations or plans in the caches."""
    served_count = 0
    for seed in range(SCHEDULES):
        served_count += _Schedule(seed).run()
    assert served_count > 20 * SCHEDULES


def test_comparison_fails_without_changed_vms(monkeypatch):
    """Verifies that the schedules detect an evidence table that reports no changed VMs."""
    monkeypatch.setattr(
        "lynxlanding.groups.evidence_table.EvidenceTable.pop_changed", lambda self: set()
    )
    with pytest.raises(AssertionError):
        for seed in range(SCHEDULES):
            _Schedule(seed).run()


def test_delayed_relayed_evidence_restores_an_endpoint():
    """Guards against a VM that stays missing although delayed evidence shows that it is alive."""
    fleet = test_fleet_controller._Fleet({"d0": 3}, replicas=1)
    fleet.run(8)
    controller = fleet.controller
    last_probe_at = fleet.now
    assert len(controller.endpoints(last_probe_at + 2.9)) == 1
    assert controller.endpoints(last_probe_at + 3.1) == []
    for item in fleet.vms:
        controller.evidence.record_success(
            item.name, last_probe_at + 2.9, controller.evidence.report(item.name)
        )
    (endpoint,) = controller.endpoints(last_probe_at + 3.2)
    assert endpoint.valid_until == pytest.approx(last_probe_at + 5.9)
    assert endpoint.valid_until > vm_evidence.NEVER
