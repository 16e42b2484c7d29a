"""Controls the replica groups of the fabric domains that a node is responsible for."""

import dataclasses
import random
import threading
import time
from typing import Any

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.replicas import (
    demand,
    domain_duty,
    domain_planner,
    engine_observer,
    evacuation_rules,
    group_plan,
    order_sender,
    placement,
    plan_call_schedule,
    plan_recovery,
    reported_groups,
)

# A node that has just started considers itself the only live one until it has heard from others, so
# it does not plan before this delay has passed.
START_DELAY_S = 0.5
# Changes trigger reconciliation; the interval only bounds the wait for probe results and for
# resending orders.
MAX_RECONCILE_INTERVAL_S = 0.1
# Live engines register again within about two seconds after the store has come back from an older
# copy. Before that, the registrations do not show which groups stand.
RECOVERY_DELAY_S = 2.0

# A pass that begins later than this after the end of the one before shows that the node has stood
# still, since the wait between them is 0.1 s at most. A pass itself may take long: a slow store.
MAX_PASS_GAP_S = 1.0

PLAN_STORED = "lynxlanding:domain:plan_stored"
PLAN_NOT_STORED = "lynxlanding:domain:plan_not_stored"
PLAN_OUTDATED = "lynxlanding:domain:plan_outdated"
PLAN_MALFORMED = "lynxlanding:domain:plan_malformed"
DOMAIN_TAKEN = "lynxlanding:domain:taken"
DOMAIN_LEFT = "lynxlanding:domain:left"
NODE_STOOD_STILL = "lynxlanding:domain:node_stood_still"
DOMAIN_RECOVERED = "lynxlanding:domain:recovered"
REGISTRY_OUTDATED = "lynxlanding:domain:registry_outdated"
REGISTRY_CURRENT = "lynxlanding:domain:registry_current"


@dataclasses.dataclass(slots=True)
class _Domain:
    planner: domain_planner.DomainPlanner
    plan: group_plan.DomainPlan
    version: Any
    # Version at which the plan was read from the store; None if there was none. Later versions are
    # this node's own, which other nodes' changes would have prevented.
    read_version: Any = None
    # Since when the registry has been older than the plan; None if it is not.
    outdated_since: float | None = None
    # When the plan, which is of an earlier era of the store, is recovered; None if it is valid.
    recover_at: float | None = None


class GroupController:
    """Plans replica groups and sends the orders for them, all from one thread.

    Parameters
    ----------
    node_id : str
        Id of this node.
    store : ObjectStore
        Stores the plans.
    engine_client : EngineClient
        Sends orders and probes to engines.
    read_fleet : callable
        Returns the ``FleetSnapshot`` of the registry.
    read_store_nodes : callable
        Returns the ids of the live nodes that the store answers, among which the domains are
        divided.
    has_traffic : callable
        Returns whether requests may have arrived at any node.
    read_stalled_heads : callable
        Returns the ids of heads whose requests any node sees stalled.
    read_busy_groups : callable
        Returns the number of groups of each model that the work of all nodes keeps busy.
    read_loading_elsewhere : callable
        Returns the ids of the engines that load weights on the orders of other nodes.
    read_limit : callable
        Returns the requests a second that an endpoint takes, given its id; None without a limit.
    count_in_flight : callable
        Returns the unfinished requests of all nodes at an endpoint, given its id.
    settings : GroupSettings
        Settings of replica groups.
    random_state : random.Random, optional
        Source of randomness for choosing engines for control probes, and for pauses between calls
        that fail.
    read_evacuated : callable, optional
        Returns the names of the evacuated data centres.
    """

    def __init__(
        self,
        node_id,
        store,
        engine_client,
        read_fleet,
        read_store_nodes,
        has_traffic,
        read_stalled_heads,
        read_busy_groups,
        read_loading_elsewhere,
        read_limit,
        count_in_flight,
        settings,
        random_state=None,
        read_evacuated=frozenset,
    ):
        self._duty = domain_duty.DomainDuty(node_id)
        self._store = store
        self._read_fleet = read_fleet
        self._read_store_nodes = read_store_nodes
        self._has_traffic = has_traffic
        self._read_stalled_heads = read_stalled_heads
        self._read_busy_groups = read_busy_groups
        self._read_limit = read_limit
        random_state = random_state or random.Random()
        self._read_evacuated = read_evacuated
        self._observer = engine_observer.EngineObserver(
            engine_client, count_in_flight, random_state
        )
        self._plan_calls = plan_call_schedule.PlanCallSchedule(random_state)
        self._engine_services = {}
        self._domains = {}
        self._era = None
        # Highest epoch that this node has seen in use, by domain.
        self._used_epochs = {}
        # Epochs that engines report and the newest plan did not have when it was read, by domain.
        self._unplanned_epochs = {}
        self._passed_at = None
        self._wake = threading.Event()
        self._order_sender = order_sender.OrderSender(
            engine_client,
            settings.load_window_s,
            read_loading_elsewhere,
            self._wake.set,
            self._observer.suspect,
        )
        self._stop = threading.Event()

    @property
    def is_busy(self):
        """Whether a group of this node's domains is forming or retiring."""
        for domain in self._domains.values():
            for group in domain.plan.groups:
                if group.phase != group_plan.SERVING:
                    return True
        return False

    @property
    def loading_engines(self):
        """Ids of the engines that load weights on this node's orders."""
        return self._order_sender.loading_engines

    def start(self):
        """Start the thread that plans and sends orders."""
        restarting_thread.start(self._run, "groups")

    def stop(self):
        """Stop the thread."""
        self._stop.set()
        self._wake.set()

    def wake(self):
        """Trigger reconciliation because something has changed."""
        self._wake.set()

    def use_configuration(self, configuration):
        """Apply the engine services of a configuration."""
        services = {}
        for name, service in configuration.services.items():
            if service.engine is not None and service.engine.models:
                services[name] = service.engine
        self._engine_services = services
        self._wake.set()

    def _run(self):
        self._stop.wait(START_DELAY_S)
        while not self._stop.is_set():
            self._wake.wait(MAX_RECONCILE_INTERVAL_S)
            self._wake.clear()
            try:
                self._reconcile(time.monotonic())
            except platform_errors.PlatformError as e:
                eliot.log_message(
                    message_type=PLAN_NOT_STORED, error=e.type_name, detail=str(e)[:200]
                )

    def _reconcile(self, now):
        self._forget_after_pause(now)
        try:
            self._reconcile_domains(now)
        finally:
            self._passed_at = time.monotonic()

    def _reconcile_domains(self, now):
        fleet = self._read_fleet()
        records = fleet.records
        if self._store.era != self._era:
            # The plans in memory and their versions are of an era that has ended.
            self._domains = {}
            self._era = self._store.era
        self._order_sender.remove_finished(records, now)
        by_domain = {}
        for record in records.values():
            if record.is_engine and record.service in self._engine_services:
                by_domain.setdefault((record.service, record.fabric_domain), []).append(record)
        store_nodes = self._read_store_nodes()
        for key in list(self._domains):
            if key not in by_domain or not self._is_responsible(key, store_nodes):
                del self._domains[key]
                eliot.log_message(
                    message_type=DOMAIN_LEFT, domain=key[1], store_nodes=len(store_nodes)
                )
        self._remove_gone_engines(records)
        if not fleet.is_store_available:
            return
        for key, members in by_domain.items():
            if self._is_responsible(key, store_nodes):
                self._reconcile_domain(key, members, by_domain, fleet, now)

    def _forget_after_pause(self, now):
        """Measure anew how long engines and groups are missing if the node has stood still.

        Engines may have come back meanwhile, and nothing showed it.
        """
        gap_s = 0.0 if self._passed_at is None else now - self._passed_at
        if gap_s <= MAX_PASS_GAP_S:
            return
        eliot.log_message(
            message_type=NODE_STOOD_STILL, gap_s=round(gap_s, 3), domains=len(self._domains)
        )
        for key, domain in self._domains.items():
            domain.planner = domain_planner.DomainPlanner(key[1])
        self._observer.restart_absences()

    def _remove_gone_engines(self, records):
        planned = set()
        for domain in self._domains.values():
            for group in domain.plan.groups:
                planned.update(group.members)
        self._observer.remove_gone(records, planned)

    def _is_responsible(self, key, store_nodes):
        return self._duty.is_responsible(_object_name(key), store_nodes)

    def _reconcile_domain(self, key, members, by_domain, fleet, now):
        domain = self._domains.get(key)
        if domain is None:
            if not self._plan_calls.may_call(now):
                return
            domain = self._load_domain(key, members, fleet, now)
            self._domains[key] = domain
        if not _has_reached_plan(key, domain, fleet, now):
            return
        engine_spec = self._engine_services[key[0]]
        all_records = [record for records in by_domain.values() for record in records]
        views = self._observer.observe(
            domain.plan, members, all_records, self._read_stalled_heads(), now
        )
        fleet_state = self._build_fleet_state(key, engine_spec, members, by_domain)
        if domain.recover_at is not None:
            if now >= domain.recover_at:
                self._recover_plan(key, domain, engine_spec, views, fleet_state, fleet)
            return
        if self._is_plan_outdated(key, domain, views):
            # The plan is read again in the next pass.
            del self._domains[key]
            self._wake.set()
            return
        step = domain.planner.step(domain.plan, engine_spec, views, fleet_state, now)
        if step.plan is not None:
            if not self._store_plan(key, domain, step, fleet_state, fleet):
                return
            step = domain.planner.step(domain.plan, engine_spec, views, fleet_state, now)
        load_limit_share = 1.0 / max(1, len(by_domain))
        load_limit_share *= len(self._domains)
        has_traffic = not fleet_state.is_before_traffic
        for orders, is_background in ((step.orders, False), (step.background_orders, True)):
            for order in orders:
                self._order_sender.send(
                    order,
                    views[order.endpoint_id].record,
                    engine_spec,
                    load_limit_share,
                    has_traffic=has_traffic,
                    plan_version=domain.version,
                    is_background=is_background,
                )

    def _is_plan_outdated(self, key, domain, views):
        """Return whether an engine is in a group that was planned after the plan was read.

        Each epoch counts once: if the newest plan does not have it either, no planner does.
        """
        unplanned = set()
        for _, epoch in reported_groups.collect(views):
            if epoch >= domain.plan.next_epoch:
                unplanned.add(epoch)
        unknown = unplanned - self._unplanned_epochs.get(key, set())
        self._unplanned_epochs[key] = unplanned
        if not unknown:
            return False
        eliot.log_message(
            message_type=PLAN_OUTDATED,
            domain=key[1],
            plan_version=str(domain.version),
            next_epoch=domain.plan.next_epoch,
            reported_epochs=sorted(unknown),
        )
        return True

    def _load_domain(self, key, members, fleet, now):
        plan = None
        version = None
        is_malformed = False
        try:
            stored = self._get_plan(key)
            version = stored.version
            plan = group_plan.from_value(stored.value)
        except platform_errors.ObjectNotFound:
            # No plan has been stored for this domain yet, or the store has lost it.
            pass
        except platform_errors.MalformedEntry as e:
            # Something else has written it. The plan is made anew from what the engines report.
            is_malformed = True
            eliot.log_message(
                message_type=PLAN_MALFORMED,
                domain=key[1],
                plan_version=str(version),
                detail=str(e)[:200],
            )
        era = self._store.era
        is_valid = plan is not None and plan.era == era
        if plan is None:
            plan = group_plan.DomainPlan(group_plan.first_epoch(era), (), era)
            is_valid = not is_malformed and all(record.membership is None for record in members)
        recover_at = None if is_valid else now + RECOVERY_DELAY_S
        eliot.log_message(
            message_type=DOMAIN_TAKEN,
            domain=key[1],
            plan_version=str(version),
            plan_era=plan.era,
            era=era,
            is_recovery_needed=not is_valid,
            groups=len(plan.groups),
            next_epoch=plan.next_epoch,
            store_nodes=sorted(self._read_store_nodes()),
            **_describe_fleet(fleet),
        )
        planner = domain_planner.DomainPlanner(key[1])
        return _Domain(planner, plan, version, read_version=version, recover_at=recover_at)

    def _get_plan(self, key):
        try:
            stored = self._store.get(group_plan.KIND, _object_name(key))
        except platform_errors.ObjectNotFound:
            self._plan_calls.record_answer()
            raise
        except platform_errors.PlatformError:
            self._plan_calls.record_failure(time.monotonic())
            raise
        self._plan_calls.record_answer()
        return stored

    def _recover_plan(self, key, domain, engine_spec, views, fleet_state, fleet):
        """Store the plan that fits the groups which the engines report in the present era."""
        recovered = plan_recovery.recover(
            domain.plan, engine_spec, views, self._era, self._used_epochs.get(key, 0)
        )
        previous = domain.plan
        reasons = [f"recovered in era {self._era} from a plan of era {previous.era}"]
        step = domain_planner.PlanningStep(recovered.plan, [], [], reasons)
        if not self._store_plan(key, domain, step, fleet_state, fleet):
            return
        domain.recover_at = None
        eliot.log_message(
            message_type=DOMAIN_RECOVERED,
            domain=key[1],
            era=self._era,
            plan_era=previous.era,
            kept=recovered.kept,
            taken_over=recovered.taken_over,
            retired=recovered.retired,
            next_epoch=recovered.plan.next_epoch,
        )

    def _store_plan(self, key, domain, step, fleet_state, fleet):
        """Store the plan of a step; return whether the update is confirmed."""
        if not self._plan_calls.may_call(time.monotonic()):
            return False
        value = step.plan.to_value()
        try:
            if domain.version is None:
                stored = self._store.create(group_plan.KIND, _object_name(key), value)
            else:
                stored = self._store.update(
                    group_plan.KIND, _object_name(key), value, domain.version
                )
        except platform_errors.PlatformError as e:
            if isinstance(e, platform_errors.StoreUnavailable):
                # Nothing was changed, so that the plan that is known is still the stored one, or
                # the next update tells.
                self._plan_calls.record_failure(time.monotonic())
            else:
                # Another node updated the plan first, or the outcome is unknown. The plan is read
                # again before the next step.
                del self._domains[key]
            eliot.log_message(
                message_type=PLAN_NOT_STORED,
                domain=key[1],
                plan_version=str(domain.version),
                reasons=step.reasons,
                error=e.type_name,
                detail=str(e)[:200],
                **_describe_fleet(fleet),
            )
            return False
        self._plan_calls.record_answer()
        based_on = domain.version
        domain.plan = step.plan
        domain.version = stored.version
        self._used_epochs[key] = max(self._used_epochs.get(key, 0), step.plan.next_epoch - 1)
        eliot.log_message(
            message_type=PLAN_STORED,
            domain=key[1],
            plan_version=str(stored.version),
            based_on=str(based_on),
            reasons=step.reasons,
            groups=len(step.plan.groups),
            needed=_round_values(fleet_state.needed),
            elsewhere=fleet_state.groups_elsewhere,
            **_describe_fleet(fleet),
        )
        return True

    def _build_fleet_state(self, key, engine_spec, members, by_domain):
        engines = 0
        usable_engines = 0
        groups_elsewhere = {}
        evacuated = self._read_evacuated()
        for other, records in by_domain.items():
            if other[0] != key[0]:
                continue
            engines += len(records)
            usable_engines += _count_outside(records, evacuated)
            if other == key:
                continue
            counts = evacuation_rules.count_serving_heads(
                records, engine_spec.models, group_plan.model_from_name, evacuated
            )
            for model, groups in counts.items():
                groups_elsewhere[model] = groups_elsewhere.get(model, 0.0) + groups
        has_traffic = self._has_traffic()
        if has_traffic:
            missing = self._missing_groups(key[0], engine_spec, by_domain, evacuated)
            needed = demand.measured(engine_spec, self._read_busy_groups(), engines, missing)
        else:
            needed = demand.initial(engine_spec, engines)
        return placement.FleetState(
            needed.groups_by_model,
            groups_elsewhere,
            # Domains without usable engines cannot form their share of the groups.
            _count_outside(members, evacuated) / max(1, usable_engines),
            not has_traffic,
            self._order_sender.fleet_loads(),
            evacuated,
        )

    def _missing_groups(self, service, engine_spec, by_domain, evacuated=frozenset()):
        """Return the capacity that limited heads do not give, in groups of each model."""
        missing = {}
        for (other_service, _), records in by_domain.items():
            if other_service != service:
                continue
            for record in records:
                limit_per_s = self._read_limit(record.endpoint_id)
                if limit_per_s is None or not record.is_serving_head:
                    continue
                if record.data_centre in evacuated:
                    # The group does not count, so it lacks nothing.
                    continue
                for model in record.models:
                    if model in engine_spec.models:
                        share = demand.missing_group_share(engine_spec, model, limit_per_s)
                        missing[model] = missing.get(model, 0.0) + share
        return missing


def _count_outside(records, data_centres):
    """Return the number of engines that are in none of the data centres."""
    return sum(record.data_centre not in data_centres for record in records)


def _has_reached_plan(key, domain, fleet, now):
    """Return whether the registry is at least as recent as the plan that was read.

    In an older one, groups that were formed meanwhile seem to have lost their members.
    """
    is_current = domain.read_version is None or fleet.covers(domain.read_version)
    if is_current == (domain.outdated_since is None):
        return is_current
    waited_s = 0.0 if domain.outdated_since is None else now - domain.outdated_since
    eliot.log_message(
        message_type=REGISTRY_CURRENT if is_current else REGISTRY_OUTDATED,
        domain=key[1],
        plan_version=str(domain.read_version),
        waited_s=round(waited_s, 3),
        **_describe_fleet(fleet),
    )
    domain.outdated_since = None if is_current else now
    return is_current


def _describe_fleet(fleet):
    """Return the fields of log lines that tell how recent the registry is."""
    age_s = None if fleet.read_at is None else round(time.monotonic() - fleet.read_at, 3)
    return {"fleet_version": str(fleet.version), "fleet_age_s": age_s}


def _round_values(numbers):
    return {name: round(number, 2) for name, number in numbers.items()}


def _object_name(key):
    """Return the name of the stored plan of a domain.

    It contains the service because services may use the same domain names.
    """
    service, domain = key
    return f"{service}.{domain}"
