"""Placement of requests on heads in a fleet whose nodes know the loads only from digests."""

import dataclasses
import math

from lynxlanding.dispatch import cost_model, load_projection

# Fleets with more nodes than this gather reports, which makes the loads older.
MAX_SMALL_FLEET = 25
# The mean load of all heads of a model is computed this often, if there are requests.
MEAN_INTERVAL_S = 0.2
# A head takes further requests of a node up to this multiple of the mean load of all heads of the
# model, plus some requests. A lower bound spreads a node's requests over more heads, so that
# connections are idle for too long to stay open; a higher one makes requests wait at loaded heads.
BOUND_FACTOR = 1.0
BOUND_EXTRA = 1.0
# The same for a head to which this node has an idle connection, since a new one costs the head 1 ms
# and is priced.
CONNECTED_BOUND_FACTOR = 1.3
# Slots left free by both bounds: loads are known late, and a request that has to wait for a slot is
# late.
SPARE_SLOTS = 1.0
# If all heads are loaded, this many are compared. Nodes that compared the same ones would all send
# to the head whose load was lowest at the last report.
SPILL_HEADS = 4
# Requests that a head may have beyond the known ones, as a multiple of the mean load. With a lower
# one, heads with queues are taken for stalled ones, and the others get their requests as well: with
# 6 requests, in the simulation of 62 nodes at 1.3 times the capacity, 25 of 45 heads. A head that
# has really stalled is found by the streams that it no longer continues.
UNKNOWN_FRACTION = 2.0
# A head that rejects a request is full whatever the counts say, and gets none for this time. It
# doubles with each further rejection, because a head that has stalled stays full until its requests
# have gone elsewhere or it is replaced.
REJECTION_HOLD_S = 1.0
MAX_REJECTION_HOLD_S = 8.0


@dataclasses.dataclass(slots=True)
class _Rejections:
    count: int = 0
    hold_until: float = 0.0


@dataclasses.dataclass(slots=True)
class _Mean:
    load: float
    updated_at: float


class FleetPlacement:
    """Selects the heads that a node compares for a request; performs no I/O.

    Every node has its own order of the heads. A request goes to the first head of that order whose
    projected load is within a bound that follows from the mean load of all heads. So a node uses as
    few heads as its traffic needs, the nodes together use all heads evenly, and the loss of a head
    moves only the requests that went there.

    Parameters
    ----------
    load_tracker : LoadTracker
        Counts of the requests in flight.
    has_idle_connection : callable
        Returns whether this node has an idle connection to the endpoint with the given id.
    random_state : random.Random
        Source of samples of heads.
    """

    def __init__(self, load_tracker, has_idle_connection, random_state):
        self._random_state = random_state
        self._has_idle_connection = has_idle_connection
        self._projection = load_projection.LoadProjection(load_tracker)
        self._nodes = 1
        self._is_forced = None
        self._means = {}
        self._rejections = {}

    @property
    def is_on(self):
        """Whether requests are placed in this way."""
        return self._nodes > MAX_SMALL_FLEET if self._is_forced is None else self._is_forced

    def use_setting(self, is_forced):
        """Switch it on or off whatever the size of the fleet; None lets the size decide."""
        self._is_forced = is_forced

    def use_node_count(self, nodes):
        """Set the number of nodes."""
        self._nodes = nodes

    def forget(self, endpoint_id):
        """Discard what is known about an endpoint that restarted or was removed."""
        self._projection.forget(endpoint_id)
        self._rejections.pop(endpoint_id, None)

    def record_rejection(self, endpoint_id, now):
        """Record that a head has rejected a request, which it does while its queue is full."""
        rejections = self._rejections.setdefault(endpoint_id, _Rejections())
        hold_s = min(MAX_REJECTION_HOLD_S, REJECTION_HOLD_S * 2**rejections.count)
        rejections.count += 1
        rejections.hold_until = max(rejections.hold_until, now + hold_s)

    def record_first_event(self, endpoint_id):
        """Record that a head has begun to answer, so that it takes requests again."""
        self._rejections.pop(endpoint_id, None)

    def is_held(self, endpoint_id, now):
        """Return whether the head gets no requests because it has rejected some."""
        rejections = self._rejections.get(endpoint_id)
        return rejections is not None and now < rejections.hold_until

    def count_held(self, now):
        """Return the number of heads that get no requests because they have rejected some."""
        return sum(now < rejections.hold_until for rejections in self._rejections.values())

    def load(self, record, engine, model, now):
        """Return the projected load of a head of an engine's model."""
        return self._projection.load(record.endpoint_id, _service_time(engine, model), now)

    def late_by(self, key, engine, model, load):
        """Return by how much a first event may be later than predicted, in seconds.

        A head that has more requests than known is not taken for a stalled one.
        """
        unknown = UNKNOWN_FRACTION * self.known_mean_load(key)
        queued = load + unknown - engine.slots
        return max(0.0, queued) * _service_time(engine, model) / engine.slots

    def select(self, key, heads, usable, engine, model, now):
        """Return the heads to compare: the preferred one, or several if all are loaded.

        Parameters
        ----------
        key : hashable
            Identifies the service and model.
        heads : list of EndpointRecord
            All heads of the model.
        usable : list of EndpointRecord
            Those of the first heads in this node's order that may take the request.
        engine : EngineSpec
            Published times.
        model : ModelSpec
            The model.
        now : float
            Monotonic seconds.
        """
        mean = self._mean_load(key, heads, engine, model, now)
        most = engine.slots - SPARE_SLOTS
        bound = min(BOUND_FACTOR * mean + BOUND_EXTRA, most)
        connected_bound = min(CONNECTED_BOUND_FACTOR * mean + BOUND_EXTRA, most)
        first = None
        open_heads = [record for record in usable if not self.is_held(record.endpoint_id, now)]
        for record in open_heads:
            is_connected = self._has_idle_connection(record.endpoint_id)
            if first is not None and not is_connected:
                continue
            load = self.load(record, engine, model, now)
            if is_connected and load < connected_bound:
                return [record]
            if first is None and load < bound:
                first = record
        if first is not None:
            return [first]
        heads = open_heads or usable
        return self._random_state.sample(heads, min(SPILL_HEADS, len(heads)))

    def known_mean_load(self, key):
        """Return the mean projected load of a model's heads as of the last selection."""
        mean = self._means.get(key)
        return 0.0 if mean is None else mean.load

    def _mean_load(self, key, heads, engine, model, now):
        mean = self._means.get(key)
        if mean is None or now - mean.updated_at >= MEAN_INTERVAL_S:
            self._projection.update_averages(heads, now)
            total = math.fsum(self.load(record, engine, model, now) for record in heads)
            mean = self._means[key] = _Mean(total / max(1, len(heads)), now)
        return mean.load


def _service_time(engine, model):
    work = cost_model.Work(engine.mean_prompt_tokens, engine.mean_answer_tokens)
    return cost_model.service_time(engine, model, work, engine.slots)
