"""Keeps the replica groups of the fabric domains that a node is responsible for."""

import dataclasses
import random
import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.membership import rendezvous
from lynxlanding.observability import guarded_thread
from lynxlanding.replicas import (
    demand,
    domain_planner,
    engine_view,
    group_plan,
    member_prober,
    order_sender,
    placement,
)

# A node that has just started takes itself for the only one until it has heard the others.
START_PAUSE_S = 0.5
# Changes wake the planner; the tick only bounds the wait for probes and repeated orders.
TICK_S = 0.1

PLAN_STORED = "lynxlanding:domain:plan_stored"
PLAN_NOT_STORED = "lynxlanding:domain:plan_not_stored"
DOMAIN_TAKEN = "lynxlanding:domain:taken"
DOMAIN_LEFT = "lynxlanding:domain:left"


@dataclasses.dataclass(slots=True)
class _Domain:
    planner: domain_planner.DomainPlanner
    plan: group_plan.DomainPlan
    version: int | None


class GroupDirector:
    """Plans and orders, from one thread.

    Parameters
    ----------
    node_id : str
        This node.
    store : ObjectStore
        Holds the plans.
    engine_client : EngineClient
        Sends orders.
    fleet : callable
        Returns the registry's records and whether the store answers.
    live_nodes : callable
        Returns the ids of the nodes that are alive, including this one.
    has_traffic : callable
        Returns whether callers' requests may have arrived at any node.
    stalled : callable
        Returns the ids of heads whose work stalls, as seen by any node.
    busy_groups : callable
        Returns the groups of each model that the work of all nodes keeps busy.
    loading_elsewhere : callable
        Returns the ids of the engines that load weights by the orders of other nodes.
    settings : GroupSettings
        Times and limits.
    random_state : random.Random, optional
        Chooses engines for control probes.
    """

    def __init__(
        self,
        node_id,
        store,
        engine_client,
        fleet,
        live_nodes,
        has_traffic,
        stalled,
        busy_groups,
        loading_elsewhere,
        settings,
        random_state=None,
    ):
        self._node_id = node_id
        self._store = store
        self._fleet = fleet
        self._live_nodes = live_nodes
        self._has_traffic = has_traffic
        self._stalled = stalled
        self._busy_groups = busy_groups
        self._prober = member_prober.MemberProber(engine_client)
        self._random_state = random_state or random.Random()
        self._engine_services = {}
        self._domains = {}
        self._last_records = {}
        self._wake = threading.Event()
        self._desk = order_sender.OrderSender(
            engine_client, settings.load_window_s, loading_elsewhere, self._wake.set
        )
        self._stop = threading.Event()

    @property
    def is_busy(self):
        """Whether a group of this node's domains is being formed or taken apart."""
        for domain in self._domains.values():
            for group in domain.plan.groups:
                if group.phase != group_plan.SERVING:
                    return True
        return False

    @property
    def loading(self):
        """Engines that load weights by this node's orders."""
        return self._desk.loading

    def start(self):
        """Run from a thread of its own."""
        guarded_thread.start(self._run, "groups")

    def stop(self):
        """Stop planning."""
        self._stop.set()
        self._wake.set()

    def wake(self):
        """Plan soon: something has changed."""
        self._wake.set()

    def use_configuration(self, configuration):
        """Use the engine services of a configuration."""
        services = {}
        for name, service in configuration.services.items():
            if service.engine is not None and service.engine.models:
                services[name] = service.engine
        self._engine_services = services
        self._wake.set()

    def _run(self):
        self._stop.wait(START_PAUSE_S)
        while not self._stop.is_set():
            self._wake.wait(TICK_S)
            self._wake.clear()
            try:
                self._tick(time.monotonic())
            except platform_errors.PlatformError as e:
                eliot.log_message(
                    message_type=PLAN_NOT_STORED, error=e.type_name, detail=str(e)[:200]
                )

    def _tick(self, now):
        records, is_store_available = self._fleet()
        self._desk.settle(records, now)
        by_domain = {}
        for record in records.values():
            if record.is_engine and record.service in self._engine_services:
                by_domain.setdefault((record.service, record.fabric_domain), []).append(record)
        live = self._live_nodes()
        for key in list(self._domains):
            if key not in by_domain or not self._is_responsible(key, live):
                del self._domains[key]
                eliot.log_message(message_type=DOMAIN_LEFT, domain=key[1], live_nodes=len(live))
        self._forget_gone(records)
        if not is_store_available:
            return
        for key, members in by_domain.items():
            if self._is_responsible(key, live):
                self._tend(key, members, by_domain, now)

    def _forget_gone(self, records):
        planned = set()
        for domain in self._domains.values():
            for group in domain.plan.groups:
                planned.update(group.members)
        for endpoint_id in list(self._last_records):
            if endpoint_id not in records and endpoint_id not in planned:
                del self._last_records[endpoint_id]
                self._prober.forget(endpoint_id)

    def _is_responsible(self, key, live):
        return rendezvous.choose(_object_name(key), live, 1) == [self._node_id]

    def _tend(self, key, members, by_domain, now):
        domain = self._domains.get(key)
        if domain is None:
            domain = self._take(key)
            self._domains[key] = domain
        engine = self._engine_services[key[0]]
        everyone = [record for records in by_domain.values() for record in records]
        self._probe_suspects(domain.plan, members, everyone, now)
        views = self._views(domain.plan, members, now)
        counts = self._counts(key, engine, members, by_domain)
        step = domain.planner.step(domain.plan, engine, views, counts, now)
        if step.plan is not None:
            if not self._save(key, domain, step, counts):
                return
            step = domain.planner.step(domain.plan, engine, views, counts, now)
        part = 1.0 / max(1, len(by_domain))
        part *= len(self._domains)
        has_traffic = not counts.is_before_traffic
        for order in step.orders:
            record = views[order.endpoint_id].record
            self._desk.send(order, record, engine, part, has_traffic=has_traffic)
        for order in step.background:
            record = views[order.endpoint_id].record
            self._desk.send(
                order, record, engine, part, has_traffic=has_traffic, is_background=True
            )

    def _take(self, key):
        plan = group_plan.DomainPlan()
        version = None
        try:
            stored = self._store.get(group_plan.KIND, _object_name(key))
            plan = group_plan.from_value(stored.value)
            version = stored.version
        except platform_errors.ObjectNotFound:
            # Nobody has planned for this domain yet.
            pass
        eliot.log_message(
            message_type=DOMAIN_TAKEN,
            domain=key[1],
            plan_version=version,
            groups=len(plan.groups),
            next_epoch=plan.next_epoch,
        )
        planner = domain_planner.DomainPlanner(key[1])
        return _Domain(planner, plan, version)

    def _save(self, key, domain, step, counts):
        """Store a plan; return whether it is in force."""
        value = step.plan.to_value()
        try:
            if domain.version is None:
                stored = self._store.create(group_plan.KIND, _object_name(key), value)
            else:
                stored = self._store.update(
                    group_plan.KIND, _object_name(key), value, domain.version
                )
        except platform_errors.PlatformError as e:
            # Another node was first, or the outcome is open: read the plan before going on.
            del self._domains[key]
            eliot.log_message(
                message_type=PLAN_NOT_STORED,
                domain=key[1],
                plan_version=domain.version,
                reasons=step.reasons,
                error=e.type_name,
                detail=str(e)[:200],
            )
            return False
        domain.plan = step.plan
        domain.version = stored.version
        eliot.log_message(
            message_type=PLAN_STORED,
            domain=key[1],
            plan_version=stored.version,
            reasons=step.reasons,
            groups=len(step.plan.groups),
            needed=_rounded(counts.needed),
            elsewhere=counts.elsewhere,
        )
        return True

    def _probe_control(self, probed, everyone, now):
        """Probe an engine that is not suspected, to tell a lost engine from a node cut off."""
        others = [record for record in everyone if record.endpoint_id not in probed]
        if others:
            self._prober.probe(self._random_state.choice(others), now)

    def _probe_suspects(self, plan, members, everyone, now):
        """Probe the members of groups that stall or that have lost a registration."""
        stalled = self._stalled()
        for record in members:
            self._last_records[record.endpoint_id] = record
        registered = {record.endpoint_id for record in members}
        probed = set()
        for group in plan.groups:
            if group.phase == group_plan.RETIRING:
                continue
            missing = [member for member in group.members if member not in registered]
            suspects = group.members if group.head in stalled else missing
            for endpoint_id in suspects:
                record = self._last_records.get(endpoint_id)
                if record is not None:
                    self._prober.probe(record, now)
                    probed.add(endpoint_id)
        if probed:
            self._probe_control(probed, everyone, now)

    def _views(self, plan, members, now):
        views = {}
        for record in members:
            is_silent = self._prober.is_silent(record.endpoint_id, now)
            views[record.endpoint_id] = engine_view.EngineView(record, True, is_silent)
        for group in plan.groups:
            for endpoint_id in group.members:
                if endpoint_id in views:
                    continue
                record = self._last_records.get(endpoint_id)
                # A head without a registration gets no requests, so its group is of no use. Other
                # members serve on while they answer.
                is_present = (
                    record is not None
                    and endpoint_id != group.head
                    and self._prober.has_answered(record, now)
                )
                views[endpoint_id] = engine_view.EngineView(record, is_present, False)
        return views

    def _counts(self, key, engine, members, by_domain):
        engines = 0
        elsewhere = {}
        for other, records in by_domain.items():
            if other[0] != key[0]:
                continue
            engines += len(records)
            if other == key:
                continue
            for record in records:
                held = record.membership
                if held is None or not held.is_head or held.state == "broken":
                    continue
                model = group_plan.model_of(held.name)
                if model in engine.models:
                    elsewhere[model] = elsewhere.get(model, 0.0) + 1.0
        has_traffic = self._has_traffic()
        if has_traffic:
            needed = demand.measured(engine, self._busy_groups(), engines)
        else:
            needed = demand.initial(engine, engines)
        return placement.FleetCounts(
            needed.groups_by_model,
            elsewhere,
            len(members) / max(1, engines),
            not has_traffic,
            self._desk.under_way() if has_traffic else {},
        )


def _rounded(numbers):
    return {name: round(number, 2) for name, number in numbers.items()}


def _object_name(key):
    """Return the name of a domain's plan; services may use the same names for their domains."""
    service, domain = key
    return f"{service}.{domain}"
