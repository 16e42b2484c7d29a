"""The director against a store and engines in memory."""

import random
import time

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.replicas import (
    engine_report,
    group_director,
    group_plan,
    order_outcome,
)
from lynxlanding.replicas.tests import plan_world
from lynxlanding.settings import vm_settings
from lynxlanding.store import memory_store
from lynxlanding.traffic import limits, service_spec, traffic_configuration


class Client:
    """Carries out orders at once, unless the engine is silent."""

    def __init__(self, world):
        self._world = world
        self.silent = set()
        self.probed = []
        self.answering = set()

    def send_order(self, record, order):
        if record.endpoint_id in self.silent:
            return order_outcome.UNKNOWN
        self._world.order(order)
        return order_outcome.BEGUN

    def fetch_report(self, record):
        self.probed.append(record.endpoint_id)
        if record.endpoint_id in self.answering:
            return engine_report.EngineReport(record.born_ms, None, (), 0, 0, 1.0)
        raise endpoint_errors.AttemptTimedOut("no answer")


class Installation:
    def __init__(self, nodes=("n1",)):
        self.world = plan_world.World(10, random.Random(1))
        self.store = memory_store.MemoryObjectStore()
        self.client = Client(self.world)
        self.stalled = frozenset()
        self.is_store_available = True
        self.live = list(nodes)
        self.directors = {name: self._make(name) for name in nodes}

    def _make(self, name):
        director = group_director.GroupDirector(
            name,
            self.store,
            self.client,
            self._fleet,
            lambda: self.live,
            lambda: True,
            lambda: self.stalled,
            dict,
            frozenset,
            vm_settings.GroupSettings(),
        )
        services = {"model": service_spec.ServiceSpec("model", 9, plan_world.engine_spec())}
        director.use_configuration(
            traffic_configuration.TrafficConfiguration(
                1, [], services, limits.CallerLimits(1, 1, 1.0, 1.0), {}, False
            )
        )
        return director

    def _fleet(self):
        records = {}
        for endpoint_id, view in self.world.views().items():
            if endpoint_id not in self.client.silent:
                records[endpoint_id] = view.record
        return records, self.is_store_available

    def play(self, ticks):
        for _ in range(ticks):
            for director in self.directors.values():
                director._tick(time.monotonic())
            # Orders leave from threads of their own.
            time.sleep(0.03)
            self.world.advance(0.3)

    def open_groups(self):
        return sum(engine.state == "open" for engine in self.world.engines.values())

    def plan(self):
        return group_plan.from_value(self.store.get(group_plan.KIND, "model.d0").value)


def test_forms_and_opens_groups():
    installation = Installation()
    installation.play(20)
    assert installation.open_groups() >= 3
    assert installation.world.violations == []


def test_two_nodes_that_both_feel_responsible_keep_to_one_plan():
    """Guards against nodes that do not hear each other and plan the same domain."""
    installation = Installation(("n1", "n2"))
    for name, director in installation.directors.items():
        director._live_nodes = lambda name=name: [name]
    installation.play(20)
    assert installation.open_groups() >= 3
    assert installation.world.violations == []
    members = []
    for group in installation.plan().groups:
        members.extend(group.members)
    assert len(members) == len(set(members))


def test_a_lost_answer_of_the_store_is_read_again():
    installation = Installation()
    installation.store.lose_answers = 1
    installation.play(20)
    assert installation.open_groups() >= 3
    assert installation.world.violations == []


def test_nothing_is_planned_while_the_store_is_away():
    installation = Installation()
    installation.is_store_available = False
    installation.play(3)
    assert installation.open_groups() == 0


def test_a_node_that_is_not_responsible_gives_no_orders():
    installation = Installation()
    installation.live = ["n2"]
    installation.directors["n1"]._live_nodes = lambda: ["n2"]
    installation.play(3)
    assert all(engine.group is None for engine in installation.world.engines.values())


def test_members_of_a_stalled_group_are_probed_and_the_group_retires():
    """Pattern: engines lost one after the other, known by stalled streams only."""
    installation = Installation()
    installation.play(20)
    group = installation.plan().groups[0]
    installation.stalled = frozenset({group.head})
    installation.client.answering = set(installation.world.engines) - {group.members[1]}
    for _ in range(12):
        installation.play(1)
        time.sleep(0.05)
    assert set(group.members) <= set(installation.client.probed)
    assert group.name not in {
        item.name for item in installation.plan().groups if item.phase == group_plan.SERVING
    }


def test_domains_of_two_services_with_one_name_have_plans_of_their_own():
    """Guards against two services that overwrite each other's plans."""
    first = group_director._object_name(("chat", "d0"))
    assert first != group_director._object_name(("draft", "d0"))


def test_a_node_that_no_engine_answers_retires_nothing():
    """Guards against a planner that is cut off or held up and takes every group apart."""
    installation = Installation()
    installation.play(20)
    before = installation.plan()
    heads = [group.head for group in before.groups]
    installation.stalled = frozenset(heads)
    for _ in range(12):
        installation.play(1)
        time.sleep(0.05)
    assert set(heads) <= set(installation.client.probed)
    assert installation.plan() == before
