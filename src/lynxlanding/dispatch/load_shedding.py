"""Which requests a large fleet refuses while the groups of a model are short of capacity."""

import dataclasses
import math

from lynxlanding.dispatch import cost_model, demand_meter

# Requests of the most urgent priority are accepted up to this fraction of the capacity of a model's
# groups. Less urgent ones get what is left of the other fraction, so that more urgent ones find
# free slots although loads are known late.
MOST_URGENT_UTILIZATION = 0.92
LESS_URGENT_UTILIZATION = 0.85
# Demand changes faster than its average. So less urgent requests are also refused with a
# probability that rises from 0 to 1 over a range of loads, which are fractions of the slots of all
# groups.
LESS_URGENT_FROM = 0.8
SHED_RANGE = 0.2
# A priority counts as present for this long after its last request at this node.
PRIORITY_MEMORY_S = 10.0
# The shares of the priorities are averaged over about this time; a node of a large fleet gets a few
# requests a second.
SHARE_TIME_S = 10.0
# Large requests free more slots per refusal, so they are refused more often, within these bounds of
# the exponent. A request of any size is accepted as long as others of its priority are.
MIN_SIZE_WEIGHT = 0.7
MAX_SIZE_WEIGHT = 1.5
# New requests may wait until their target latency; beyond it they are refused, since each further
# one would make all that follow it late as well.
MAX_NEW_LATENESS = 1.0
# Returning callers are late already. They may wait for this fraction of the time that they have
# left.
RETURNING_WAIT_FRACTION = 0.1
# A caller with less than this fraction of the route's time left has been refused before.
RETURNING_FRACTION = 0.93
# Callers that were refused come back when the excess has been served, at the earliest after this.
MIN_RETRY_AFTER_S = 0.4
# Upper bound of a Retry-After, as a fraction of the time left.
RETRY_AFTER_FRACTION = 1 / 3
# Passes from the start of a request to its first event.
FIRST_PASSES = 1.5

LESS_URGENT = "more urgent requests need the groups"
SHORT = "the groups are short of capacity"
LATE = "the request would be late on every group"
HOPELESS = "the request cannot be answered before its deadline"


@dataclasses.dataclass(slots=True, frozen=True)
class ModelLoad:
    """What is known about the groups of a model when a request arrives.

    Parameters
    ----------
    engine : EngineSpec
        Published times.
    model : ModelSpec
        The model.
    mean_load : float
        Mean projected load of the model's heads.
    load : float
        Projected load of the head that would get the request.
    predicted_s : float
        Predicted time to the first event at that head, in seconds.
    heads : int
        Number of heads that take requests.
    demand : float
        Number of groups that the requests at all nodes would keep busy.
    """

    engine: object
    model: object
    mean_load: float
    load: float
    predicted_s: float
    heads: int
    demand: float

    def log_fields(self, age_s):
        """Return the values that a decision is based on, with the age of the loads in seconds."""
        return {
            "mean_load": round(self.mean_load, 2),
            "load": round(self.load, 2),
            "predicted_s": round(self.predicted_s, 4),
            "heads": self.heads,
            "demand_groups": round(self.demand, 2),
            "load_age_s": round(age_s, 3),
        }


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Refusal of a request, with the time in seconds after which there is room."""

    reason: str
    retry_after_s: float


class LoadShedding:
    """Decides which requests are refused while capacity is short; performs no I/O.

    The load of all groups of a model is known to every node from the same reports, so that all
    nodes refuse the same priorities at the same time.

    Parameters
    ----------
    random_state : random.Random
        Draws which requests of a priority are refused.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        # Last request by (service, model) and priority.
        self._seen = {}
        self._meters = {}
        self._shed_total = 0

    @property
    def shed_total(self):
        """Number of requests refused since the start of the process."""
        return self._shed_total

    def decide(self, query, model_load, now):
        """Return a ``Shed`` if the first attempt of a request is refused, else None.

        Parameters
        ----------
        query : DispatchQuery
            Request.
        model_load : ModelLoad
            Load of the model's groups.
        now : float
            Monotonic seconds.
        """
        shed = self._decide(query, model_load, now)
        if shed is not None:
            self._shed_total += 1
        return shed

    def _decide(self, query, model_load, now):
        has_more_urgent = self._record(query, now)
        engine = model_load.engine
        if model_load.predicted_s > query.time_left_s:
            return Shed(HOPELESS, query.time_left_s)
        shortage = self._shortage(query, model_load, has_more_urgent, now)
        if shortage > 0 and self._is_drawn(query, model_load, shortage):
            reason = LESS_URGENT if has_more_urgent else SHORT
            return Shed(reason, _retry_after_s(query, shortage))
        if model_load.load < engine.slots:
            return None
        wait_s = (model_load.load + 1 - engine.slots) * _slot_release_s(model_load)
        if wait_s > self._max_wait_s(query, model_load):
            return Shed(LATE, max(wait_s, _retry_after_s(query, shortage)))
        return None

    def _shortage(self, query, model_load, has_more_urgent, now):
        """Return the fraction of the requests of this priority that must be refused."""
        limit = LESS_URGENT_UTILIZATION if has_more_urgent else MOST_URGENT_UTILIZATION
        shares = self._shares(query, now)
        more_urgent = sum(share for priority, share in shares.items() if priority < query.priority)
        demand = model_load.demand * shares.get(query.priority, 1.0)
        left = limit * model_load.heads - more_urgent * model_load.demand
        shortage = 1.0 - left / demand if demand > 0 else 0.0
        if has_more_urgent:
            load = model_load.mean_load / model_load.engine.slots
            shortage = max(shortage, (load - LESS_URGENT_FROM) / SHED_RANGE)
        return min(1.0, max(0.0, shortage))

    def record_request(self, service, model, priority, group_s, now):
        """Record a request that keeps a whole group busy for ``group_s`` seconds."""
        meter = self._meters.setdefault((service, model), demand_meter.DemandMeter(SHARE_TIME_S))
        meter.add(priority, group_s, now)

    def _shares(self, query, now):
        """Return the shares of the priorities in this node's demand for the model."""
        meter = self._meters.get((query.service, query.model))
        groups = {} if meter is None else meter.busy_groups(now)
        total = sum(groups.values())
        return {priority: busy / total for priority, busy in groups.items()} if total > 0 else {}

    def _record(self, query, now):
        """Record a request; return whether more urgent ones have come lately."""
        seen = self._seen.setdefault((query.service, query.model), {})
        seen[query.priority] = now
        return any(
            priority < query.priority and now - at < PRIORITY_MEMORY_S
            for priority, at in seen.items()
        )

    def _is_drawn(self, query, model_load, shortage):
        """Return whether a request is one of those to be refused."""
        engine = model_load.engine
        mean_work = cost_model.Work(engine.mean_prompt_tokens, engine.mean_answer_tokens)
        size = _work_s(model_load, query.work) / _work_s(model_load, mean_work)
        weight = min(MAX_SIZE_WEIGHT, max(MIN_SIZE_WEIGHT, math.sqrt(size)))
        if is_returning(query):
            weight *= MIN_SIZE_WEIGHT
        return self._random_state.random() < min(1.0, shortage) ** (1 / weight)

    def _max_wait_s(self, query, model_load):
        """Return how long a request may wait for a slot, in seconds.

        It does not depend on the size of the request, or large ones would starve.
        """
        if is_returning(query):
            return RETURNING_WAIT_FRACTION * query.time_left_s
        engine, model = model_load.engine, model_load.model
        pass_s = engine.steps_per_pass * cost_model.step_time(engine, model, engine.slots)
        return MAX_NEW_LATENESS * query.route.target_latency_s - FIRST_PASSES * pass_s


def is_returning(query):
    """Return whether the caller has most likely been refused before, by this node or another."""
    return query.time_left_s < RETURNING_FRACTION * query.route.timeout_s


def _retry_after_s(query, shortage):
    """Return a time that grows with the shortage up to a third of the time left."""
    longest_s = RETRY_AFTER_FRACTION * query.time_left_s
    return MIN_RETRY_AFTER_S + min(1.0, max(0.0, shortage)) * max(
        0.0, longest_s - MIN_RETRY_AFTER_S
    )


def _work_s(model_load, work):
    engine = model_load.engine
    return cost_model.service_time(engine, model_load.model, work, engine.slots)


def _slot_release_s(model_load):
    """Return the mean time between two releases of a slot of a full group, in seconds."""
    engine = model_load.engine
    work = cost_model.Work(engine.mean_prompt_tokens, engine.mean_answer_tokens)
    return _work_s(model_load, work) / engine.slots
