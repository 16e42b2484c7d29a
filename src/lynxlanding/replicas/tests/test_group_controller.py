"""Tests of group control with an in-memory store and simulated engines."""

import dataclasses
import random
import time

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.fleet import fleet_snapshot
from lynxlanding.membership import rendezvous
from lynxlanding.replicas import (
    engine_observer,
    group_controller,
    group_plan,
    order_outcome,
)
from lynxlanding.replicas.tests import simulated_domain
from lynxlanding.settings import vm_settings
from lynxlanding.store import memory_store
from lynxlanding.traffic import limits, service_spec, traffic_configuration


class SimulatedEngineClient:
    """Carries out orders immediately, unless the engine is silent."""

    def __init__(self, domain):
        self._domain = domain
        self.silent = set()
        self.probed = []
        # Engines that answer reports.
        self.answering = set(domain.engines)
        self.running = 0

    def send_order(self, record, order):
        if record.endpoint_id in self.silent:
            return order_outcome.UNKNOWN
        self._domain.deliver_order(order)
        return order_outcome.BEGUN

    def fetch_report(self, record):
        self.probed.append(record.endpoint_id)
        # The answer comes after the planning step that has sent the probe.
        time.sleep(0.01)
        if record.endpoint_id in self.answering:
            report = self._domain.report(record.endpoint_id)
            return dataclasses.replace(report, running=self.running)
        raise endpoint_errors.AttemptTimedOut("no response")


class Cluster:
    def __init__(self, nodes=("n1",)):
        self.domain = simulated_domain.SimulatedDomain(10, random.Random(1))
        self.store = memory_store.MemoryObjectStore()
        self.client = SimulatedEngineClient(self.domain)
        self.stalled_heads = frozenset()
        self.is_store_available = True
        # Registries that no longer follow the store, by node.
        self.frozen_fleets = {}
        self.limits = {}
        self.in_flight = {}
        self.evacuated = frozenset()
        self.live_nodes = list(nodes)
        self.controllers = {name: self._make_controller(name) for name in nodes}

    def _make_controller(self, name):
        controller = group_controller.GroupController(
            name,
            self.store,
            self.client,
            lambda: self.frozen_fleets.get(name) or self._read_fleet(),
            lambda: self.live_nodes,
            lambda: True,
            lambda: self.stalled_heads,
            dict,
            frozenset,
            self.limits.get,
            lambda endpoint_id: self.in_flight.get(endpoint_id, 0),
            vm_settings.GroupSettings(),
            read_evacuated=lambda: self.evacuated,
        )
        services = {
            "model": service_spec.ServiceSpec("model", 9, simulated_domain.make_engine_spec())
        }
        controller.use_configuration(
            traffic_configuration.TrafficConfiguration(
                1, [], services, limits.CallerLimits(1, 1, 1.0, 1.0), {}, False
            )
        )
        return controller

    def _read_fleet(self):
        records = {}
        for endpoint_id, view in self.domain.views().items():
            if endpoint_id not in self.client.silent:
                records[endpoint_id] = view.record
        _, version = self.store.list(group_plan.KIND)
        return fleet_snapshot.FleetSnapshot(records, self.is_store_available, version)

    def freeze_fleet(self, name):
        """Let a node's registry stay as it is now."""
        self.frozen_fleets[name] = self._read_fleet()

    def answer_only(self, engines):
        """Let no other engines answer reports, and forget which were asked."""
        self.client.answering = set(engines)
        self.client.probed.clear()

    def run(self, rounds, nodes=None):
        for _ in range(rounds):
            for name in nodes or self.controllers:
                self.controllers[name]._reconcile(time.monotonic())
            # Orders are sent from separate threads.
            time.sleep(0.03)
            self.domain.advance(0.3)

    def open_groups(self):
        return sum(engine.state == "open" for engine in self.domain.engines.values())

    def plan(self):
        return group_plan.from_value(self.store.get(group_plan.KIND, "model.d0").value)


def test_forms_and_opens_groups():
    cluster = Cluster()
    cluster.run(20)
    assert cluster.open_groups() >= 3
    assert cluster.domain.violations == []


def test_two_nodes_that_both_claim_a_domain_follow_one_plan():
    """Guards against conflicting plans of nodes that cannot reach each other."""
    cluster = Cluster(("n1", "n2"))
    for name, controller in cluster.controllers.items():
        controller._read_store_nodes = lambda name=name: [name]
    cluster.run(20)
    assert cluster.open_groups() >= 3
    assert cluster.domain.violations == []
    members = []
    for group in cluster.plan().groups:
        members.extend(group.members)
    assert len(members) == len(set(members))


def test_groups_that_are_newer_than_the_registry_are_not_dissolved():
    """Guards against engines in two groups: a frozen node wakes up and reads the newest plan."""
    cluster = Cluster(("n1", "n2"))
    for name, controller in cluster.controllers.items():
        controller._read_store_nodes = lambda name=name: [name]
    cluster.freeze_fleet("n2")
    cluster.run(20, ["n1"])
    before = cluster.plan()
    open_groups = cluster.open_groups()
    assert open_groups >= 3
    cluster.run(5, ["n2"])
    assert cluster.domain.violations == []
    assert cluster.plan() == before
    del cluster.frozen_fleets["n2"]
    cluster.run(5, ["n2"])
    assert cluster.domain.violations == []
    assert cluster.plan() == before
    assert cluster.open_groups() == open_groups


def test_engines_are_not_taken_for_gone_because_the_planner_stood_still():
    """Guards against cut streams: an engine that was missing just before a freeze is back."""
    cluster = Cluster()
    cluster.run(20)
    before = cluster.plan()
    cluster.client.silent = {before.groups[0].members[1]}
    cluster.run(2)
    assert cluster.plan() == before
    cluster.freeze_fleet("n1")
    cluster.client.silent = set()
    time.sleep(1.5)
    cluster.run(2)
    assert cluster.plan() == before
    del cluster.frozen_fleets["n1"]
    cluster.run(5)
    assert cluster.plan() == before


def test_a_slow_store_is_no_pause_of_the_planner(monkeypatch):
    """Guards against shortages that are not acted upon while calls to the store take long."""
    monkeypatch.setattr(group_controller, "MAX_PASS_GAP_S", 0.15)
    cluster = Cluster()
    controller = cluster.controllers["n1"]
    controller._reconcile(time.monotonic())
    (domain,) = controller._domains.values()
    planner = domain.planner
    read_fleet = controller._read_fleet

    def read_slowly():
        time.sleep(0.2)
        return read_fleet()

    controller._read_fleet = read_slowly
    cluster.run(3)
    assert domain.planner is planner


def test_a_node_plans_once_its_registry_has_reached_the_plan():
    """Guards against domains that are planned no more after a freeze."""
    cluster = Cluster(("n1", "n2"))
    for name, controller in cluster.controllers.items():
        controller._read_store_nodes = lambda name=name: [name]
    cluster.freeze_fleet("n2")
    cluster.run(20, ["n1"])
    cluster.run(2, ["n2"])
    del cluster.frozen_fleets["n2"]
    gone = cluster.plan().groups[0]
    cluster.domain.engines[gone.head].is_alive = False
    cluster.run(20, ["n2"])
    assert gone.name not in {group.name for group in cluster.plan().groups}
    assert cluster.domain.violations == []


def test_members_of_groups_that_another_node_has_planned_are_not_ordered_to_leave():
    """Guards against cut streams: a node that was replaced goes on with its earlier plan."""
    cluster = Cluster(("n1", "n2"))
    for name, controller in cluster.controllers.items():
        controller._read_store_nodes = lambda name=name: [name]
    late = ["e8", "e9"]
    for endpoint_id in late:
        cluster.domain.engines[endpoint_id].is_alive = False
    cluster.run(20, ["n1"])
    cluster.run(1, ["n2"])
    cluster.controllers["n1"]._read_busy_groups = lambda: {"small": 9.0}
    for endpoint_id in late:
        cluster.domain.engines[endpoint_id].is_alive = True
    cluster.run(20, ["n1"])
    groups = {endpoint_id: cluster.domain.engines[endpoint_id].group for endpoint_id in late}
    assert None not in groups.values()
    cluster.run(3, ["n2"])
    for endpoint_id in late:
        assert cluster.domain.engines[endpoint_id].group == groups[endpoint_id]


def test_a_group_that_no_plan_has_is_left_after_the_plan_was_read_again():
    """Guards against engines that stay in a group of an unknown epoch for good."""
    cluster = Cluster()
    cluster.run(20)
    name = "e9"
    cluster.domain.engines[name].group = ("other", 1000, (name,))
    cluster.domain.engines[name].state = "ready"
    reads = cluster.store.call_counts["get"]
    cluster.run(5)
    assert cluster.domain.engines[name].group != ("other", 1000, (name,))
    assert cluster.store.call_counts["get"] == reads + 1


def test_a_group_of_an_unknown_epoch_does_not_hide_that_a_plan_is_outdated():
    """Guards against cut streams: an engine in a stray group beside groups of a newer plan."""
    cluster = Cluster(("n1", "n2"))
    for name, controller in cluster.controllers.items():
        controller._read_store_nodes = lambda name=name: [name]
    late = ["e7", "e8", "e9"]
    for endpoint_id in late:
        cluster.domain.engines[endpoint_id].is_alive = False
    cluster.run(20, ["n1"])
    stray = cluster.domain.engines["e7"]
    stray.is_alive = True
    stray.group = ("other", 1000, ("e7",))
    stray.state = "ready"
    cluster.run(2, ["n2"])
    cluster.controllers["n1"]._read_busy_groups = lambda: {"small": 9.0}
    for endpoint_id in late:
        cluster.domain.engines[endpoint_id].is_alive = True
    cluster.run(20, ["n1"])
    groups = {name: item.group for name, item in cluster.domain.engines.items()}
    cluster.run(3, ["n2"])
    assert {name: item.group for name, item in cluster.domain.engines.items()} == groups


def test_the_plan_is_read_again_after_a_lost_store_response():
    cluster = Cluster()
    cluster.store.responses_to_lose = 1
    cluster.run(20)
    assert cluster.open_groups() >= 3
    assert cluster.domain.violations == []


def test_nothing_is_planned_while_the_store_is_unavailable():
    cluster = Cluster()
    cluster.is_store_available = False
    cluster.run(3)
    assert cluster.open_groups() == 0


ODD_PLANS = [
    None,
    {"next_epoch": 3},
    {"next_epoch": 3, "groups": [{"name": [], "epoch": 1, "model": "m", "members": []}]},
    {"next_epoch": float("inf"), "groups": [], "era": 0},
]


@pytest.mark.parametrize("value", ODD_PLANS)
def test_a_plan_that_another_writer_has_spoilt_is_made_anew(monkeypatch, value):
    """Guards against domains that are planned no more because one plan cannot be read."""
    monkeypatch.setattr(group_controller, "RECOVERY_DELAY_S", 0.1)
    cluster = Cluster()
    cluster.run(20)
    groups = cluster.open_groups()
    stored = cluster.store.get(group_plan.KIND, "model.d0")
    cluster.store.update(group_plan.KIND, "model.d0", value, stored.version)
    cluster.controllers["n1"]._domains.clear()
    cluster.run(20)
    assert cluster.plan().groups
    assert cluster.open_groups() == groups
    assert cluster.domain.violations == []


def test_a_node_that_is_not_responsible_sends_no_orders():
    cluster = Cluster()
    cluster.live_nodes = ["n2"]
    cluster.controllers["n1"]._read_store_nodes = lambda: ["n2"]
    cluster.run(3)
    assert all(engine.group is None for engine in cluster.domain.engines.values())


def test_members_of_a_stalled_group_are_probed_and_the_group_retires():
    """Guards against undetected engine failures that only stalled streams reveal."""
    cluster = Cluster()
    cluster.run(20)
    group = cluster.plan().groups[0]
    cluster.stalled_heads = frozenset({group.head})
    cluster.answer_only(set(cluster.domain.engines) - {group.members[1]})
    for _ in range(12):
        cluster.run(1)
        time.sleep(0.05)
    assert set(group.members) <= set(cluster.client.probed)
    assert group.name not in {
        item.name for item in cluster.plan().groups if item.phase == group_plan.SERVING
    }


def stall_group(cluster, rounds=12):
    """Let one member of a group answer no probes, and return whether the group still serves."""
    cluster.run(20)
    group = cluster.plan().groups[0]
    cluster.stalled_heads = frozenset({group.head})
    cluster.answer_only(set(cluster.domain.engines) - {group.members[1]})
    for _ in range(rounds):
        cluster.run(1)
        time.sleep(0.05)
    assert group.members[1] in cluster.client.probed
    return group in cluster.plan().groups


def test_group_with_requests_is_not_given_up_because_a_member_pauses():
    """Guards against answers that are cut because a sound engine is silent for a second."""
    cluster = Cluster()
    cluster.in_flight = dict.fromkeys(cluster.domain.engines, 1)
    assert stall_group(cluster)


def test_group_with_requests_is_given_up_once_its_callers_have_left(monkeypatch):
    """Guards against a dead group that is kept for requests which it cannot finish."""
    monkeypatch.setattr(engine_observer, "MAX_PAUSE_S", 0.3)
    cluster = Cluster()
    cluster.in_flight = dict.fromkeys(cluster.domain.engines, 1)
    assert not stall_group(cluster)


def test_silent_engine_is_probed_until_it_answers(monkeypatch):
    """Guards against a head that wakes up without its group and takes requests for seconds."""
    monkeypatch.setattr(engine_observer, "MAX_PAUSE_S", 0.3)
    cluster = Cluster()
    assert not stall_group(cluster)
    planned = set()
    for group in cluster.plan().groups:
        planned.update(group.members)
    silent = set(cluster.domain.engines) - cluster.client.answering
    assert not silent & planned
    cluster.stalled_heads = frozenset()
    cluster.client.probed.clear()
    for _ in range(8):
        cluster.run(1)
        time.sleep(0.05)
    assert silent <= set(cluster.client.probed)
    cluster.client.answering = set(cluster.domain.engines)
    for _ in range(8):
        cluster.run(1)
        time.sleep(0.05)
    views = cluster.controllers["n1"]._observer.observe(
        cluster.plan(),
        list(cluster._read_fleet().records.values()),
        [],
        frozenset(),
        time.monotonic(),
    )
    assert not any(views[endpoint_id].is_silent for endpoint_id in silent)


def test_engines_that_send_no_report_are_not_planned_again_and_again():
    """Guards against groups that wait in turn for an engine which cannot be asked to join."""
    cluster = Cluster()
    cluster.answer_only(set(cluster.domain.engines) - {"e0"})
    for _ in range(40):
        cluster.run(1)
        time.sleep(0.03)
    planned = set()
    for group in cluster.plan().groups:
        planned.update(group.members)
    assert "e0" not in planned
    assert cluster.open_groups() >= 2


def test_engines_that_were_paused_together_do_not_count_as_silent_when_they_wake_up():
    """Guards against groups that are given up since the first engine to wake up has answered."""
    cluster = Cluster()
    cluster.run(20)
    before = cluster.plan()
    cluster.stalled_heads = frozenset(group.head for group in before.groups)
    cluster.answer_only(())
    for _ in range(12):
        cluster.run(1)
        time.sleep(0.05)
    spare = set(cluster.domain.engines)
    for group in before.groups:
        spare -= set(group.members)
    # The control probe is answered first.
    cluster.client.answering = spare or {before.groups[0].members[-1]}
    cluster.run(2)
    assert cluster.plan() == before


def test_domains_of_the_same_name_in_two_services_have_separate_plans():
    """Guards against two services that overwrite each other's plans."""
    first = group_controller._object_name(("chat", "d0"))
    assert first != group_controller._object_name(("draft", "d0"))


def test_a_node_retires_no_group_while_no_engine_answers():
    """Guards against a disconnected or stalled node that retires every group."""
    cluster = Cluster()
    cluster.run(20)
    before = cluster.plan()
    heads = [group.head for group in before.groups]
    cluster.stalled_heads = frozenset(heads)
    cluster.answer_only(())
    for _ in range(12):
        cluster.run(1)
        time.sleep(0.05)
    assert set(heads) <= set(cluster.client.probed)
    assert cluster.plan() == before


def test_standing_groups_survive_a_store_that_comes_back_from_an_older_copy(monkeypatch):
    """Guards against a node that dissolves the groups which the older copy does not know."""
    monkeypatch.setattr(group_controller, "RECOVERY_DELAY_S", 0.2)
    cluster = Cluster()
    cluster.store.save_copy()
    cluster.run(20)
    before = {item.group for item in cluster.domain.engines.values() if item.state == "open"}
    assert before
    cluster.store.roll_back()
    cluster.run(20)
    after = {item.group for item in cluster.domain.engines.values() if item.state == "open"}
    assert before <= after
    plan = cluster.plan()
    assert plan.era == 1
    assert {group.name for group in plan.groups} >= {group[0] for group in before}
    assert cluster.domain.violations == []


def test_nothing_is_ordered_before_the_engines_have_registered_again():
    cluster = Cluster()
    cluster.run(20)
    cluster.store.save_copy()
    cluster.store.roll_back()
    sent = []
    cluster.client.send_order = lambda record, order: sent.append(order) or order_outcome.BEGUN
    cluster.run(5)
    assert sent == []


def test_another_node_plans_for_one_that_the_store_refuses():
    """Pattern: the store turns away the node that is responsible for a domain.

    Its groups were neither opened nor repaired until the store answered it again.
    """
    cluster = Cluster(("n1", "n2"))
    store_nodes = ["n1", "n2"]
    for controller in cluster.controllers.values():
        controller._read_store_nodes = lambda: store_nodes
    responsible = rendezvous.choose("model.d0", store_nodes, 1)[0]
    cluster.run(2)
    assert cluster.controllers[responsible]._domains
    store_nodes.remove(responsible)
    cluster.run(20)
    assert cluster.open_groups() >= 3
    assert not cluster.controllers[responsible]._domains
    assert cluster.domain.violations == []


def test_limited_groups_count_for_less():
    """Guards against groups that are planned as whole while their head takes few requests."""
    cluster = Cluster()
    cluster.run(20)
    heads = [record for record in cluster._read_fleet().records.values() if record.is_serving_head]
    controller = cluster.controllers["n1"]
    spec = simulated_domain.make_engine_spec()
    by_domain = {("model", "d0"): heads, ("other", "d0"): heads}
    assert controller._missing_groups("model", spec, by_domain) == {}
    head = heads[0]
    cluster.limits[head.endpoint_id] = 0.0
    (model,) = head.models
    assert controller._missing_groups("model", spec, by_domain) == {model: 1.0}
    cluster.limits[head.endpoint_id] = 1e9
    assert controller._missing_groups("model", spec, by_domain) == {model: 0.0}


@pytest.mark.parametrize("rank", [0, 1])
def test_group_stays_while_a_member_without_a_registration_answers(rank):
    """Guards against running work that is given up because an engine does not reach the store."""
    cluster = Cluster()
    cluster.run(20)
    group = cluster.plan().groups[0]
    cluster.client.answering = set(cluster.domain.engines)
    cluster.client.running = 2
    cluster.client.silent = {group.members[rank]}
    for _ in range(8):
        cluster.run(1)
        time.sleep(0.05)
    assert group in cluster.plan().groups
    cluster.client.silent = set()
    cluster.run(3)
    assert group in cluster.plan().groups


@pytest.mark.parametrize("rank", [0, 1])
def test_group_of_a_member_without_a_registration_retires_if_it_does_not_answer(rank):
    """Guards against a group that waits for an engine that is gone."""
    cluster = Cluster()
    cluster.run(20)
    group = cluster.plan().groups[0]
    cluster.answer_only(set(cluster.domain.engines) - {group.members[rank]})
    cluster.client.silent = {group.members[rank]}
    for _ in range(12):
        cluster.run(1)
        time.sleep(0.05)
    assert group not in cluster.plan().groups


def test_group_of_a_head_without_a_registration_retires_once_its_work_is_done():
    """Guards against engines that wait for a head which gets no requests."""
    cluster = Cluster()
    cluster.run(20)
    group = cluster.plan().groups[0]
    cluster.client.answering = set(cluster.domain.engines)
    cluster.client.running = 1
    cluster.client.silent = {group.head}
    cluster.run(4)
    assert group in cluster.plan().groups
    cluster.client.running = 0
    for _ in range(8):
        cluster.run(1)
        time.sleep(0.05)
    assert group not in cluster.plan().groups


def test_groups_wait_for_the_end_of_an_evacuation_and_stand_through_the_next():
    """Guards against plans with engines that may not serve, and groups that are given up."""
    cluster = Cluster()
    cluster.evacuated = frozenset("a")
    cluster.run(6)
    assert cluster.open_groups() == 0
    cluster.evacuated = frozenset()
    cluster.run(20)
    plan = cluster.plan()
    assert cluster.open_groups() >= 3
    cluster.evacuated = frozenset("a")
    cluster.run(6)
    assert cluster.plan().groups == plan.groups
    assert cluster.open_groups() >= 3
    assert cluster.domain.violations == []


def test_demand_of_a_fleet_does_not_fall_with_the_engines_that_may_serve():
    """Guards against other domains that see no shortage, as their share of the engines rises."""
    cluster = Cluster()
    cluster.run(20)
    records = list(cluster._read_fleet().records.values())
    elsewhere = [dataclasses.replace(record, data_centre="b") for record in records]
    by_domain = {("model", "d0"): records, ("model", "d1"): elsewhere}
    controller = cluster.controllers["n1"]
    spec = simulated_domain.make_engine_spec()
    before = controller._build_fleet_state(("model", "d1"), spec, elsewhere, by_domain)
    assert before.domain_share == 0.5
    assert sum(before.groups_elsewhere.values()) >= 3
    cluster.evacuated = frozenset("a")
    after = controller._build_fleet_state(("model", "d1"), spec, elsewhere, by_domain)
    assert after.needed == before.needed
    assert after.domain_share == 1.0
    assert after.groups_elsewhere == {}
