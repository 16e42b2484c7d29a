"""Chooses the endpoint of each request."""

from lynxlanding.dispatch import (
    choice,
    cost_model,
    demand_meter,
    endpoint_health,
    first_event_offset,
    load_tracker,
    retry_budget,
)
from lynxlanding.fleet import endpoint_change

# Used where a model has no open group: a group forms from staged weights in about this time.
GROUP_RETURN_S = 1.5
# Used where every endpoint is avoided for a moment.
SHORT_RETURN_S = 0.5
# Preference for endpoints of the node's own data centre, as a time.
REMOTE_PENALTY_S = 0.004
# The same for plain services, as a part of an endpoint's slots.
PLAIN_REMOTE_PENALTY = 0.05
# Nodes that see the same loads do not all choose the same endpoint.
HEAD_SPREAD = 0.05
PLAIN_SPREAD = 0.1
# The request's own share in the load of an idle endpoint, so that slower ones differ.
OWN_SHARE = 0.5
# An endpoint that has just failed is chosen only where every other one is much slower.
AVOIDANCE_PENALTY_S = 1.0
# A plain service's endpoint takes this multiple of its slots before requests are refused.
PLAIN_QUEUE_FACTOR = 2.0
# A request is refused when the predicted time exceeds its objective by this factor; callers that
# are refused sooner come back later than the queue would have served them.
LATENESS_FACTOR = 2.2
# Heads that one decision compares; more cost time and hardly find a better one.
MAX_COMPARED = 16
# Requests in progress give their places up within about this time.
BUSY_RETURN_S = 0.8
# A wait is prolonged by up to this part of itself.
RETURN_SPREAD = 0.8
# Callers wait for at most a third of the time that they have left.
LONGEST_RETURN_PART = 0.3
# A repeatable call to a plain service is tried elsewhere after this part of its objective.
PLAIN_STALL_PART = 0.8


class Dispatcher:
    """Routing and early refusal, without I/O.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    registry : EndpointRegistry
        Known endpoints.
    retry_limits : tuple of float
        Ratio, slack and window in seconds of the limit on repeats.
    stalls : StallBoard
        Endpoints that have stopped making progress.
    random_state : random.Random
        Breaks ties.
    """

    def __init__(self, data_centre, registry, retry_limits, stalls, random_state):
        self._data_centre = data_centre
        self._registry = registry
        self._retry_limits = retry_limits
        self._stalls = stalls
        self._random_state = random_state
        self._configuration = None
        self._nodes = 1
        self._load = load_tracker.LoadBook()
        self._health = endpoint_health.EndpointHealth()
        self._allowances = {}
        self._meter = demand_meter.WorkMeter()
        self._offset = first_event_offset.FirstEventOffset()
        self._plain = {}
        self._heads = {}

    @property
    def load(self):
        """Requests in flight."""
        return self._load

    @property
    def health(self):
        """Recent failures of endpoints."""
        return self._health

    @property
    def configuration(self):
        """Configuration in force or None."""
        return self._configuration

    def use_configuration(self, configuration):
        """Use a newer configuration."""
        self._configuration = configuration

    def use_retry_limits(self, retry_limits):
        """Use another limit on repeats; what was counted under the old one is forgotten."""
        if retry_limits != self._retry_limits:
            self._retry_limits = retry_limits
            self._allowances = {}

    def use_node_count(self, nodes):
        """Use the number of nodes that share the limit on repeats."""
        self._nodes = max(1, nodes)

    def apply(self, changes):
        """Update the candidates after changes of the registry."""
        if not changes:
            return
        for change in changes:
            if change.kind in (endpoint_change.RESTARTED, endpoint_change.REMOVED):
                self._health.forget(change.record.endpoint_id)
                self._stalls.forget(change.record.endpoint_id)
                self._load.forget(change.record.endpoint_id)
        self._plain = {}
        self._heads = {}
        for record in self._registry.records.values():
            if record.is_leaving:
                continue
            if not record.is_engine:
                self._plain.setdefault(record.service, []).append(record)
                continue
            if not record.is_serving_head:
                continue
            for model in record.models:
                self._heads.setdefault((record.service, model), []).append(record)

    def note_request(self, service, model, work, now):
        """Count a request from a caller."""
        self._allowance(service).note_request(now)
        spec = self._configuration.services.get(service)
        if spec is None or spec.engine is None or model not in spec.engine.models:
            return
        engine = spec.engine
        slot_s = cost_model.service_time(engine, engine.models[model], work, engine.slots)
        self._meter.add(model, slot_s / engine.slots, now)

    def busy_groups(self, now):
        """Return the groups that this node's requests keep busy, by model."""
        return self._meter.busy_groups(now)

    def take_repeat(self, service, now):
        """Take one repeat from the node's allowance; return whether there was one."""
        return self._allowance(service).take(now, self._nodes)

    def note_first_event(self, question, send, observed_s, now):
        """Record the time to the first event of a stream."""
        endpoint_id = send.record.endpoint_id
        self._health.note_success(endpoint_id)
        self._health.note_first_event(endpoint_id, observed_s, send.expected_s, now)
        # The slowness of single endpoints is learnt apart from what is common to all.
        known = self._offset.get(question.service, question.model)
        self._offset.note(question.service, question.model, observed_s - send.expected_s + known)

    def choose(self, question, now):
        """Return ``Send`` or ``Refuse`` for a request; what is sent counts as load at once."""
        decision = self._decide(question, now)
        if isinstance(decision, choice.Send):
            self._load.begin(decision.record.endpoint_id)
        return decision

    def may_switch(self, question, now):
        """Take one repeat if another endpoint could serve the request at once."""
        if not isinstance(self._decide(question, now), choice.Send):
            return False
        return self.take_repeat(question.service, now)

    def _decide(self, question, now):
        service = self._configuration.services.get(question.service)
        if service is not None and service.engine is not None:
            return self._choose_head(question, service.engine, now)
        return self._choose_plain(question, now)

    def _choose_head(self, question, engine, now):
        model = engine.models.get(question.model)
        heads = self._heads.get((question.service, question.model), ())
        offset_s = self._offset.get(question.service, question.model)
        stall_s = 0.0 if model is None else cost_model.stall_time(engine, model)
        best = None
        best_cost = 0.0
        best_with_room = None
        cost_with_room = 0.0
        for record in self._compared(heads):
            if record.endpoint_id in question.excluded:
                continue
            if self._stalls.is_stalled(record.endpoint_id, stall_s, now):
                continue
            present = self._load.estimate(record.endpoint_id, now)
            expected_s = offset_s + cost_model.first_event_time(
                engine, model, question.work, present
            )
            predicted_s = expected_s * self._health.slowness(record.endpoint_id, now)
            # Groups with more room finish a request sooner, also when the first event is alike.
            cost = predicted_s * (1.0 + present / engine.slots)
            if record.data_centre != self._data_centre:
                cost += REMOTE_PENALTY_S
            if self._health.is_avoided(record.endpoint_id, now):
                cost += AVOIDANCE_PENALTY_S
            cost *= 1.0 + HEAD_SPREAD * self._random_state.random()
            is_best = best is None or cost < best_cost
            has_room = present < engine.slots
            is_best_with_room = has_room and (best_with_room is None or cost < cost_with_room)
            if not is_best and not is_best_with_room:
                continue
            first_s = cost_model.first_event_limit(engine, model, predicted_s)
            send = choice.Send(record, present, expected_s, predicted_s, first_s, stall_s)
            if is_best:
                best = send
                best_cost = cost
            if is_best_with_room:
                best_with_room = send
                cost_with_room = cost
        if best is None:
            if not heads:
                return self._refuse(question, "no open group of the model", GROUP_RETURN_S)
            return self._refuse(
                question, "every open group was tried or has stalled", GROUP_RETURN_S
            )
        allowed_s = question.route.target_latency_s * LATENESS_FACTOR
        if best.present < engine.slots or best.predicted_s <= allowed_s:
            return best
        if best_with_room is None:
            excess_s = best.predicted_s - question.route.target_latency_s
            return self._refuse(
                question, "the request would be late on every group", BUSY_RETURN_S + excess_s
            )
        # A slow group with room serves it sooner than a refusal would.
        return best_with_room

    def _compared(self, heads):
        """Return the heads to compare, a random choice where there are many."""
        if len(heads) <= MAX_COMPARED:
            return heads
        return self._random_state.sample(heads, MAX_COMPARED)

    def _choose_plain(self, question, now):
        candidates = self._plain.get(question.service, ())
        best = None
        best_cost = 0.0
        for record in candidates:
            if record.endpoint_id in question.excluded:
                continue
            present = self._load.estimate(record.endpoint_id, now)
            cost = (present + OWN_SHARE) / max(1, record.slots)
            if self._health.is_avoided(record.endpoint_id, now):
                cost += AVOIDANCE_PENALTY_S
            if record.data_centre != self._data_centre:
                cost += PLAIN_REMOTE_PENALTY
            cost *= 1.0 + PLAIN_SPREAD * self._random_state.random()
            if best is None or cost < best_cost:
                stall_s = question.route.target_latency_s * PLAIN_STALL_PART
                best = choice.Send(record, present, 0.0, 0.0, stall_s, stall_s)
                best_cost = cost
        if best is None:
            return self._refuse(question, "no endpoint of the service", SHORT_RETURN_S)
        if best.present >= best.record.slots * PLAIN_QUEUE_FACTOR:
            return self._refuse(question, "every endpoint of the service is full", SHORT_RETURN_S)
        return best

    def _refuse(self, question, reason, wait_s):
        """Return a refusal that asks the caller to come back when it is likely to be served.

        Callers that were refused together do not return together, and none is asked to wait for
        longer than it does.
        """
        spread_s = wait_s * (1.0 + RETURN_SPREAD * self._random_state.random())
        return choice.Refuse(reason, min(spread_s, question.time_left_s * LONGEST_RETURN_PART))

    def _allowance(self, service):
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = retry_budget.RetryAllowance(*self._retry_limits)
            self._allowances[service] = allowance
        return allowance
