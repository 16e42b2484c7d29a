"""Selects the endpoint of each request."""

import dataclasses

from lynxlanding.dispatch import (
    cost_model,
    demand_meter,
    dispatch_decision,
    endpoint_health,
    evacuated_endpoints,
    first_event_offset,
    fleet_placement,
    head_comparison,
    head_preference,
    incomplete_groups,
    load_shedding,
    load_tracker,
    retry_budget,
)
from lynxlanding.fleet import endpoint_change

# Retry-After if the model has no open group: about the time to form a group from staged weights.
NO_GROUP_RETRY_AFTER_S = 1.5
# Retry-After if no endpoint of a plain service is available or has room.
PLAIN_RETRY_AFTER_S = 0.5
# Cost of an endpoint in another data centre than the node's own.
REMOTE_PENALTY_S = 0.004
# The same for plain services, as a fraction of an endpoint's slots.
PLAIN_REMOTE_PENALTY = 0.05
# Relative random variation of the cost, so that nodes that see the same loads do not all select
# the same endpoint.
HEAD_COST_JITTER = 0.05
PLAIN_COST_JITTER = 0.1
# Load that the request itself adds. It makes idle endpoints with different numbers of slots differ.
OWN_LOAD = 0.5
# Cost of an endpoint of a plain service that has just failed, as a multiple of its slots.
COOLDOWN_PENALTY = 1.0
# A plain service refuses requests once the load of its best endpoint reaches this multiple of the
# slots.
PLAIN_QUEUE_FACTOR = 2.0
# A request is refused if its predicted time exceeds the target latency by this factor. With a
# lower factor, refused callers would come back later than the queue would have served them.
MAX_LATENESS_FACTOR = 2.2
# Running requests release their slots within about this time.
BUSY_RETRY_AFTER_S = 0.8
# A Retry-After is extended by a random fraction of itself, up to this one.
RETRY_AFTER_JITTER = 0.8
# Upper bound of a Retry-After, as a fraction of the time left until the caller's deadline.
MAX_RETRY_AFTER_FRACTION = 0.3
# A call to a plain service counts as stalled after this fraction of the target latency and, if it
# is idempotent, is retried at another endpoint.
PLAIN_STALL_FRACTION = 0.8


class Dispatcher:
    """Endpoint selection and load shedding; performs no I/O.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    registry : EndpointRegistry
        Known endpoints.
    retry_limits : tuple of float
        Ratio, slack and window in seconds of the retry limit.
    stall_tracker : StallTracker
        Endpoints that have stopped making progress.
    statement_gate : StatementGate
        Keeps requests to what endpoints state about themselves.
    random_state : random.Random
        Source of cost jitter, samples of heads and Retry-After jitter.
    has_idle_connection : callable, optional
        Returns whether this node has an idle connection to the endpoint with the given id.
    """

    def __init__(
        self,
        data_centre,
        registry,
        retry_limits,
        stall_tracker,
        statement_gate,
        random_state,
        has_idle_connection=lambda endpoint_id: False,
    ):
        self._data_centre = data_centre
        self._registry = registry
        self._retry_limits = retry_limits
        self._stall_tracker = stall_tracker
        self._statement_gate = statement_gate
        self._random_state = random_state
        self._configuration = None
        self._nodes = 1
        self._load_tracker = load_tracker.LoadTracker()
        self._health = endpoint_health.EndpointHealth()
        self._retry_budgets = {}
        self._demand_meter = demand_meter.DemandMeter()
        self._first_event_offset = first_event_offset.FirstEventOffset()
        self._head_preference = head_preference.HeadPreference(data_centre, random_state)
        self._fleet_placement = fleet_placement.FleetPlacement(
            self._load_tracker, has_idle_connection, random_state
        )
        self._demand = {}
        self._load_shedding = load_shedding.LoadShedding(random_state)
        self._incomplete_groups = incomplete_groups.IncompleteGroups()
        self._plain = {}
        self._heads = {}
        self._evacuated_data_centres = frozenset()
        # Endpoints that only an evacuation keeps from requests.
        self._evacuated_ids = frozenset()

    @property
    def load_tracker(self):
        """``LoadTracker`` of the requests in flight."""
        return self._load_tracker

    @property
    def health(self):
        """``EndpointHealth`` of the known endpoints."""
        return self._health

    @property
    def fleet_placement(self):
        """``FleetPlacement`` that selects heads in a large fleet."""
        return self._fleet_placement

    @property
    def load_shedding(self):
        """``LoadShedding`` of a large fleet."""
        return self._load_shedding

    @property
    def configuration(self):
        """Configuration in force or None."""
        return self._configuration

    def use_configuration(self, configuration):
        """Switch to a newer configuration."""
        self._configuration = configuration

    def use_retry_limits(self, retry_limits):
        """Switch to another retry limit; this resets the counts if the limit has changed."""
        if retry_limits != self._retry_limits:
            self._retry_limits = retry_limits
            self._retry_budgets = {}

    def use_node_count(self, nodes):
        """Set the number of nodes that share the retry limit."""
        self._nodes = max(1, nodes)
        self._fleet_placement.use_node_count(nodes)

    def apply(self, changes):
        """Update the candidate endpoints after changes of the registry."""
        if not changes:
            return
        for change in changes:
            if change.kind in (endpoint_change.RESTARTED, endpoint_change.REMOVED):
                self._health.forget(change.record.endpoint_id)
                self._stall_tracker.forget(change.record.endpoint_id)
                self._load_tracker.forget(change.record.endpoint_id)
                self._fleet_placement.forget(change.record.endpoint_id)
            if change.kind in (endpoint_change.ADDED, endpoint_change.RESTARTED):
                self._statement_gate.keep_incarnation(change.record)
            self._incomplete_groups.apply(change)
        self._incomplete_groups.retain(
            record for record in self._registry.records.values() if record.is_serving_head
        )
        self._gather_candidates()

    def use_evacuated(self, data_centres):
        """Set the data centres whose endpoints get no requests.

        Parameters
        ----------
        data_centres : frozenset of str
            Evacuated data centres.
        """
        self._evacuated_data_centres = data_centres
        self._gather_candidates()

    def is_evacuated(self, record):
        """Return whether an evacuation keeps an endpoint from requests."""
        return record.endpoint_id in self._evacuated_ids

    def _gather_candidates(self):
        records = self._registry.records
        evacuated = evacuated_endpoints.EvacuatedEndpoints(
            self._evacuated_data_centres, records.values()
        )
        evacuated_ids = set()
        plain = {}
        heads_by_key = {}
        for record in records.values():
            if evacuated.contains(record):
                evacuated_ids.add(record.endpoint_id)
            if not record.accepts_requests:
                continue
            if not record.is_engine:
                endpoints = plain.setdefault(record.service, [])
                if not evacuated.contains(record):
                    endpoints.append(record)
                continue
            if not record.is_serving_head or self._incomplete_groups.is_incomplete(record):
                continue
            for model in record.models:
                heads_by_key.setdefault((record.service, model), []).append(record)
        if not evacuated.is_empty:
            for key, heads in heads_by_key.items():
                heads_by_key[key] = evacuated.select_heads(heads)
                kept = {record.endpoint_id for record in heads_by_key[key]}
                evacuated_ids.update({record.endpoint_id for record in heads} - kept)
        for key, heads in heads_by_key.items():
            heads_by_key[key] = self._head_preference.arrange(heads)
        self._plain = plain
        self._heads = heads_by_key
        self._evacuated_ids = frozenset(evacuated_ids)

    def use_demand(self, busy_groups):
        """Set the number of groups that the requests at all nodes would keep busy, by model."""
        self._demand = busy_groups

    def record_request(self, service, model, work, now, priority=0):
        """Record a request from a caller."""
        self._retry_budget(service).record_request(now)
        spec = self._configuration.services.get(service)
        if spec is None or spec.engine is None or model not in spec.engine.models:
            return
        engine = spec.engine
        slot_s = cost_model.service_time(engine, engine.models[model], work, engine.slots)
        self._demand_meter.add(model, slot_s / engine.slots, now)
        self._load_shedding.record_request(service, model, priority, slot_s / engine.slots, now)

    def busy_groups(self, now):
        """Return the mean number of groups that this node's requests keep busy, by model."""
        return self._demand_meter.busy_groups(now)

    def try_acquire_retry(self, service, now):
        """Consume one retry of the node's budget if available; return whether it was."""
        return self._retry_budget(service).try_acquire(now, self._nodes)

    def record_rejection(self, endpoint_id, now):
        """Record that an endpoint has refused a request without running it."""
        if self._fleet_placement.is_on:
            self._fleet_placement.record_rejection(endpoint_id, now)

    def record_first_event(self, query, decision, observed_s, now):
        """Record the observed time to the first event of a stream."""
        endpoint_id = decision.record.endpoint_id
        self._health.record_success(endpoint_id)
        self._fleet_placement.record_first_event(endpoint_id)
        self._health.record_first_event(endpoint_id, observed_s, decision.expected_s, now)
        # The offset common to all engines is estimated separately from each engine's slowness.
        # ``expected_s`` includes the previous offset.
        previous_s = self._first_event_offset.get(query.service, query.model)
        self._first_event_offset.record(
            query.service, query.model, observed_s - decision.expected_s + previous_s
        )

    def choose(self, query, now):
        """Return ``Send`` or ``Refuse`` for a request.

        A sent request counts towards the load of its endpoint immediately.
        """
        decision = self._decide(query, now)
        candidates = self._candidates(query)
        is_sent = isinstance(decision, dispatch_decision.Send)
        if is_sent and not self._statement_gate.admits(query, candidates, now):
            return self._refuse_limited(query, candidates)
        if is_sent:
            self._load_tracker.begin(decision.record.endpoint_id)
            self._statement_gate.allowance.consume(decision.record.endpoint_id, now)
        return decision

    def try_acquire_failover(self, query, now):
        """Consume one retry if another endpoint could serve the request immediately.

        Returns whether a retry was consumed.
        """
        decision = self._decide(query, now)
        if not isinstance(decision, dispatch_decision.Send):
            return False
        if self._fleet_placement.is_on and not self._has_free_slot(query, decision):
            # The silent endpoint may only be busy, and a second attempt would wait as well.
            return False
        return self.try_acquire_retry(query.service, now)

    def _candidates(self, query):
        """Return all endpoints that could serve the request, whatever their load."""
        if query.service in self._plain:
            return self._plain[query.service]
        return self._heads.get((query.service, query.model), ())

    def _decide(self, query, now):
        service = self._configuration.services.get(query.service)
        if service is not None and service.engine is not None:
            return self._choose_head(query, service.engine, now)
        return self._choose_plain(query, now)

    def _choose_head(self, query, engine, now):
        all_heads = self._heads.get((query.service, query.model), ())
        heads = self._statement_gate.select_sendable(all_heads, now)
        if all_heads and not heads:
            return self._refuse_unsendable(query, all_heads, now)
        comparison = head_comparison.HeadComparison(engine.slots)
        first = self._select_first(query, engine, all_heads, heads, now)
        self._compare_heads(comparison, query, engine, first, now)
        if not comparison.has_free_slot and not self._fleet_placement.is_on:
            others = self._head_preference.sample_others(heads)
            self._compare_heads(comparison, query, engine, others, now)
        best = comparison.best
        if best is None:
            if not heads:
                return self._refuse_without_endpoints(
                    query,
                    (query.service, query.model) in self._heads,
                    "no open group of the model",
                    NO_GROUP_RETRY_AFTER_S,
                )
            return self._refuse(
                query, "every open group was tried or has stalled", NO_GROUP_RETRY_AFTER_S
            )
        is_first = not query.excluded
        if is_first and self._fleet_placement.is_on and query.model in engine.models:
            return self._shed(query, engine, heads, best, now) or best
        max_predicted_s = query.route.target_latency_s * MAX_LATENESS_FACTOR
        if best.load < engine.slots or best.predicted_s <= max_predicted_s:
            return best
        if not comparison.has_free_slot:
            excess_s = best.predicted_s - query.route.target_latency_s
            return self._refuse(
                query, "the request would be late on every group", BUSY_RETRY_AFTER_S + excess_s
            )
        # A slow group with a free slot serves the request sooner than a refusal and a retry would.
        return comparison.best_with_free_slot

    def _has_free_slot(self, query, decision):
        engine = self._configuration.services[query.service].engine
        return engine is None or decision.load < engine.slots

    def _shed(self, query, engine, heads, best, now):
        """Return a refusal if capacity is short and this request is one of those to give up."""
        model_load = load_shedding.ModelLoad(
            engine,
            engine.models[query.model],
            self._fleet_placement.known_mean_load((query.service, query.model)),
            best.load,
            best.predicted_s,
            len(heads),
            self._demand.get(query.model, 0.0),
        )
        shed = self._load_shedding.decide(query, model_load, now)
        if shed is None:
            return None
        refusal = self._refuse(query, shed.reason, shed.retry_after_s)
        inputs = model_load.log_fields(self._load_tracker.others_age_s(now))
        return dataclasses.replace(refusal, inputs=inputs)

    def _select_first(self, query, engine, all_heads, heads, now):
        """Return the heads to compare first."""
        first = self._head_preference.select(heads)
        model = engine.models.get(query.model)
        if model is None or not self._fleet_placement.is_on:
            return first
        stall_timeout_s = cost_model.stall_timeout(engine, model)
        usable = self._usable_heads(query, first, stall_timeout_s, now)
        key = (query.service, query.model)
        return self._fleet_placement.select(key, all_heads, usable, engine, model, now)

    def _load(self, record, engine, model, now):
        if model is None or not self._fleet_placement.is_on:
            return self._load_tracker.estimate(record.endpoint_id, now)
        return self._fleet_placement.load(record, engine, model, now)

    def _compare_heads(self, comparison, query, engine, heads, now):
        """Add the usable ones of some heads to a ``HeadComparison``."""
        model = engine.models.get(query.model)
        offset_s = self._first_event_offset.get(query.service, query.model)
        stall_timeout_s = 0.0 if model is None else cost_model.stall_timeout(engine, model)
        for record in self._usable_heads(query, heads, stall_timeout_s, now):
            load = self._load(record, engine, model, now)
            expected_s = offset_s + cost_model.first_event_time(engine, model, query.work, load)
            predicted_s = expected_s * self._health.slowness(record.endpoint_id, now)
            # With the same time to the first event, a less loaded group completes the request
            # sooner.
            cost = predicted_s * (1.0 + load / engine.slots)
            if record.data_centre != self._data_centre:
                cost += REMOTE_PENALTY_S
            cost *= 1.0 + HEAD_COST_JITTER * self._random_state.random()
            if not comparison.is_better(load, cost):
                continue
            if self._fleet_placement.is_on:
                key = (query.service, query.model)
                late_s = self._fleet_placement.late_by(key, engine, model, load)
            else:
                late_s = 0.0
            decision = dispatch_decision.Send(
                record,
                load,
                expected_s,
                predicted_s,
                cost_model.first_event_timeout(engine, model, predicted_s + late_s),
                stall_timeout_s,
                self._statement_gate.limits.limit_per_s(record.endpoint_id),
                self._statement_gate.allowance.rate_per_s(record.endpoint_id, now),
                self._load_tracker.others_age_s(now),
            )
            comparison.add(decision, cost)

    def _usable_heads(self, query, heads, stall_timeout_s, now):
        """Return those of the heads that may be compared.

        Heads that have just failed are left out as long as there are others, even full ones: an
        attempt at an engine that is gone costs the caller more time than a short queue.
        """
        usable = []
        cooling_down = []
        for record in heads:
            if record.endpoint_id in query.excluded:
                continue
            if self._stall_tracker.is_stalled(record.endpoint_id, stall_timeout_s, now):
                continue
            if self._health.is_cooling_down(record.endpoint_id, now):
                cooling_down.append(record)
                continue
            usable.append(record)
        return usable or cooling_down

    def _choose_plain(self, query, now):
        all_candidates = self._plain.get(query.service, ())
        candidates = self._statement_gate.select_sendable(all_candidates, now)
        if all_candidates and not candidates:
            return self._refuse_unsendable(query, all_candidates, now)
        best = None
        best_cost = 0.0
        for record in candidates:
            if record.endpoint_id in query.excluded:
                continue
            load = self._load_tracker.estimate(record.endpoint_id, now)
            cost = (load + OWN_LOAD) / max(1, record.slots)
            if self._health.is_cooling_down(record.endpoint_id, now):
                cost += COOLDOWN_PENALTY
            if record.data_centre != self._data_centre:
                cost += PLAIN_REMOTE_PENALTY
            cost *= 1.0 + PLAIN_COST_JITTER * self._random_state.random()
            if best is None or cost < best_cost:
                stall_timeout_s = query.route.target_latency_s * PLAIN_STALL_FRACTION
                best = dispatch_decision.Send(
                    record,
                    load,
                    0.0,
                    0.0,
                    stall_timeout_s,
                    stall_timeout_s,
                    self._statement_gate.limits.limit_per_s(record.endpoint_id),
                    self._statement_gate.allowance.rate_per_s(record.endpoint_id, now),
                )
                best_cost = cost
        if best is None:
            return self._refuse_without_endpoints(
                query,
                query.service in self._plain and not all_candidates,
                "no endpoint of the service",
                PLAIN_RETRY_AFTER_S,
            )
        if best.load >= best.record.slots * PLAIN_QUEUE_FACTOR:
            return self._refuse(query, "every endpoint of the service is full", PLAIN_RETRY_AFTER_S)
        return best

    def _refuse_without_endpoints(self, query, is_evacuated, reason, retry_after_s):
        """Refuse a request that no endpoint could serve; the log tells evacuations apart."""
        if is_evacuated:
            reason = "every endpoint is in an evacuated data centre"
        return self._refuse(query, reason, retry_after_s)

    def _refuse_unsendable(self, query, records, now):
        """Refuse a request because of what all endpoints that could serve it have stated."""
        accepting = self._statement_gate.select_accepting(records, now)
        if accepting:
            return self._refuse_limited(query, accepting)
        reason = "every endpoint rejects requests for a time"
        wait_s = self._statement_gate.shortest_rejection_s(records, now)
        wait_s += BUSY_RETRY_AFTER_S * self._random_state.random()
        if wait_s > query.time_left_s - query.route.target_latency_s:
            # The caller cannot wait for so long, but another node may be served sooner.
            return self._refuse(query, reason, BUSY_RETRY_AFTER_S)
        return dispatch_decision.Refuse(reason, wait_s)

    def _refuse_limited(self, query, records):
        """Refuse a request for which no endpoint takes another one from this node."""
        retry_after_s = max(BUSY_RETRY_AFTER_S, self._statement_gate.retry_after_s(records))
        return self._refuse(query, self._statement_gate.describe_limits(records), retry_after_s)

    def _refuse(self, query, reason, retry_after_s):
        """Return a refusal with a Retry-After at which the request is likely to be served.

        The jitter keeps callers that were refused together from retrying together. The upper bound
        leaves each caller time to retry before its deadline.
        """
        jittered_s = retry_after_s * (1.0 + RETRY_AFTER_JITTER * self._random_state.random())
        return dispatch_decision.Refuse(
            reason, min(jittered_s, query.time_left_s * MAX_RETRY_AFTER_FRACTION)
        )

    def _retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(*self._retry_limits)
            self._retry_budgets[service] = budget
        return budget
