"""Random schedules of planners with older registries, late writes of registrations and orders."""

import random

import pytest

from lynxlanding.fleet import fleet_snapshot
from lynxlanding.replicas import engine_order, join_condition
from lynxlanding.replicas.tests import simulated_domain
from lynxlanding.store import store_version

SCHEDULES = 1000
STEPS = 40
# A late write is replaced by the engine's next heartbeat.
HEARTBEAT_S = 1.2
# Schedules in which a planted fault must show.
DETECTION_SCHEDULES = 200


class RecordedDomain(simulated_domain.SimulatedDomain):
    """Domain that keeps earlier states of its registrations, which may be written again."""

    def __init__(self, engines, random_state):
        super().__init__(engines, random_state)
        # Entry that an engine had written earlier, and until when it stands, by endpoint id.
        self._late_writes = {}
        self.states = []
        self.record_state()

    def views(self):
        """Return the registered engines, with late writes in place of newer ones."""
        views = super().views()
        for endpoint_id, (view, until) in self._late_writes.items():
            if endpoint_id in views and self.now < until:
                views[endpoint_id] = view
        return views

    def write_late(self):
        """Put back an entry that an engine of a group has written before."""
        joined = [item for item in self.engines.values() if item.group is not None]
        if not joined:
            return
        endpoint_id = self.random_state.choice(joined).endpoint_id
        for _, views in self.states:
            view = views.get(endpoint_id)
            if view is not None and view.record.started_ms == self.engines[endpoint_id].started_ms:
                self._late_writes[endpoint_id] = (view, self.now + HEARTBEAT_S)
                return

    def record_state(self):
        """Keep the registrations and the version of the store that they show."""
        self.states.append((store_version.StoreVersion(self.era, self.version), self.views()))

    def send_order(self, order, delay_s):
        """Deliver an order; a join is tied to the engine's report when it is sent."""
        if order.kind == engine_order.JOIN:
            order, _ = join_condition.prepare(order, self.report(order.endpoint_id))
            if order is None:
                return
        self.deliver_order(order, delay_s)


class LaggingPlanner(simulated_domain.SimulatedPlanner):
    """Planner whose registry follows the store with a delay, and which may freeze.

    Parameters
    ----------
    domain : RecordedDomain
        The domain.
    checks_versions : bool
        Whether it waits for a registry that has reached its plan, as ``GroupController`` does.
    """

    def __init__(self, domain, checks_versions):
        super().__init__(domain)
        self._checks_versions = checks_versions
        self._state = 0
        self._read_plan()

    def step(self, fleet_state):
        """Follow the store for some of the way, and return the orders to send."""
        random_state = self.domain.random_state
        if random_state.random() < 0.3:
            self._read_plan()
        if random_state.random() < 0.5:
            self._state = random_state.randint(self._state, len(self.domain.states) - 1)
        version, self.views = self.domain.states[self._state]
        fleet = fleet_snapshot.FleetSnapshot({}, True, version)
        if self._checks_versions and not fleet.covers(self._read_version):
            return []
        return self.act(fleet_state, lose_answer=random_state.random() < 0.1)

    def observe(self):
        """Read the plan again after a refused update."""
        self._read_plan()

    def _read_plan(self):
        self.plan = self.domain.stored_plan
        self.version = self.domain.version
        self._read_version = store_version.StoreVersion(self.domain.era, self.version)


def run_schedule(seed, *, checks_versions=True, has_late_writes=True):
    """Run one schedule with three planners; return the simulated domain."""
    random_state = random.Random(seed)
    domain = RecordedDomain(10, random_state)
    planners = [LaggingPlanner(domain, checks_versions) for _ in range(3)]
    fleet_state = simulated_domain.make_fleet_state()
    for _ in range(STEPS):
        engine = random_state.choice(list(domain.engines.values()))
        event = random_state.random()
        if event < 0.05:
            engine.is_alive = not engine.is_alive
        elif event < 0.1:
            domain.restart(engine.endpoint_id)
        elif event < 0.2 and has_late_writes:
            domain.write_late()
        # Planners that are left out are frozen.
        for planner in random_state.sample(planners, random_state.randint(1, 3)):
            for order in planner.step(fleet_state):
                is_late = random_state.random() < 0.1
                domain.send_order(order, random_state.uniform(0.5, 6.0) if is_late else 0.0)
                if random_state.random() < 0.1:
                    # The first order got no answer and is sent again.
                    domain.send_order(order, 0.0)
            domain.record_state()
        domain.advance(random_state.uniform(0.05, 0.6))
        domain.record_state()
    return domain


def test_no_schedule_of_older_registries_and_late_orders_puts_an_engine_in_two_groups():
    """Guards against a join of an engine whose group has an open head."""
    opened_groups = 0
    for seed in range(SCHEDULES):
        domain = run_schedule(seed)
        assert domain.violations == [], f"seed {seed}"
        opened_groups += domain.opened_groups
    assert opened_groups > SCHEDULES


def test_no_schedule_without_late_writes_depends_on_the_engines_own_check(monkeypatch):
    """Guards against plans that are compared with a registry which is older than they are."""
    monkeypatch.setattr(join_condition, "prepare", lambda order, report: (order, None))
    monkeypatch.setattr(
        RecordedDomain, "send_order", lambda self, order, _: self.deliver_order(order)
    )
    for seed in range(SCHEDULES):
        domain = run_schedule(seed, has_late_writes=False)
        assert domain.violations == [], f"seed {seed}"


def test_schedules_detect_plans_that_are_compared_with_older_registries(monkeypatch):
    """Guards against schedules in which older registries do no harm."""
    monkeypatch.setattr(join_condition, "prepare", lambda order, report: (order, None))
    found = 0
    for seed in range(DETECTION_SCHEDULES):
        domain = run_schedule(seed, checks_versions=False, has_late_writes=False)
        found += bool(domain.violations)
    assert found > 0


def test_schedules_detect_joins_that_engines_do_not_check(monkeypatch):
    """Guards against schedules in which late writes and late orders do no harm."""
    monkeypatch.setattr(join_condition, "prepare", lambda order, report: (order, None))
    found = sum(bool(run_schedule(seed).violations) for seed in range(DETECTION_SCHEDULES))
    assert found > 0


@pytest.mark.parametrize("has_late_writes", [False, True])
def test_engines_are_not_left_without_groups(has_late_writes):
    """Guards against checks that keep engines out of groups for good."""
    for seed in range(20):
        domain = run_schedule(seed, has_late_writes=has_late_writes)
        for engine in domain.engines.values():
            engine.is_alive = True
        planner = simulated_domain.SimulatedPlanner(domain)
        fleet_state = simulated_domain.make_fleet_state()
        for _ in range(60):
            planner.observe()
            for order in planner.act(fleet_state):
                domain.send_order(order, 0.0)
            domain.advance(0.5)
        states = [engine.state for engine in domain.engines.values()]
        assert states.count("open") >= 3, f"seed {seed}"
        assert "joining" not in states, f"seed {seed}"
