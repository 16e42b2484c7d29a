"""Queues and shares of one node."""

import dataclasses
import math

from lynxlanding.admission import (
    admission_queue,
    decision,
    rate_meter,
    share_allocator,
    workspace_shares,
)

# A node admits this multiple of its part of the endpoints' slots, so that an endpoint that gets a
# little less than the others still has a request waiting when a slot becomes free. With reports
# that lag by 0.5 s, a factor of 1 loses 13% of the goodput at twice the capacity; with 1.5, a
# request within share waits longer behind those in excess that were admitted before it.
SLOTS_FACTOR = 1.25


@dataclasses.dataclass(slots=True)
class _Entry:
    request: object
    within_share: bool


class AdmissionController:
    """Decides about all requests of a node.

    The limit of each pool is the node's part of the pool's slots, split between nodes by their
    demand.

    Parameters
    ----------
    node_id : str
        Name of the node.
    random_state : numpy.random.Generator
        Spreads ``Retry-After``.
    slices : share_slices.ShareSlices, optional
        Split between nodes.
    """

    def __init__(self, node_id, random_state, slices=None):
        self._random_state = random_state
        self._slices = slices or share_allocator.ShareSlices(node_id)
        self._shares = workspace_shares.WorkspaceShares()
        self._queues = {}
        self._entries = {}
        self._meters = {}
        self._owed = {}
        self._pool_slots = {}

    @property
    def slices(self):
        """Split between nodes; heartbeats of other nodes go there."""
        return self._slices

    def queues(self):
        """Return the queues by pool."""
        return self._queues

    def set_owed(self, owed, now):
        """Replace the owed rates: a dict of (workspace, unit) to rate."""
        self._owed = dict(owed)
        return self.advance(now)

    def set_pool_slots(self, slots, now):
        """Replace the slots of the usable endpoints: a dict of pool to slots."""
        self._pool_slots = dict(slots)
        return self.advance(now)

    def demand(self, now):
        """Return the demand of this node, for the other nodes."""
        demand = self._shares.demand(now)
        # Requests within share are counted by the slices, not by what was admitted: a node with too
        # few slots would otherwise never demand more.
        for (pool, workspace), meter in self._meters.items():
            rate = meter.rate(now)
            within = rate * self._shares.within_fraction(workspace, now)
            slots = within * self._queues[pool].service_s
            slots_key = (pool, share_allocator.SLOTS)
            demand[slots_key] = demand.get(slots_key, 0.0) + slots
            excess_key = (pool, share_allocator.EXCESS)
            demand[excess_key] = demand.get(excess_key, 0.0) + rate - within
        return demand

    def offer(self, request, now):
        """Decide about a new request; returns its decision first, then any that follow."""
        queue = self._find_or_create_queue(request.pool)
        within_share = self._shares.take(request.workspace, request.tokens, now)
        meter = self._meters.setdefault((request.pool, request.workspace), rate_meter.RateMeter())
        meter.observe(1.0, now)
        self._entries[request.request_id] = _Entry(request, within_share)
        weight = self._shares.weight(request.workspace)
        return self._apply(queue.offer(request, within_share, now, weight), now)

    def end(self, request_id, now, tokens=None):
        """Release a request that ended, or whose caller disconnected while it was queued.

        Parameters
        ----------
        request_id : str
            Identity of the request; unknown ones are ignored.
        now : float
            Monotonic time in seconds.
        tokens : float, optional
            Number of tokens that the response really had.

        Returns
        -------
        list of decision.Decision
            Decisions about queued requests that follow from it.
        """
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return []
        request = entry.request
        queue = self._queues[request.pool]
        if entry.within_share and queue.is_queued(request_id):
            self._shares.give_back(request.workspace, request.tokens, now)
        elif entry.within_share and tokens is not None:
            self._shares.correct_tokens(request.workspace, tokens - request.tokens, now)
        return self._apply(queue.end(request_id, now), now)

    def advance(self, now):
        """Update slices and limits, and refuse what can no longer be served in time.

        To be called every few hundred milliseconds.
        """
        owed = dict(self._owed)
        for pool, slots in self._pool_slots.items():
            owed[(pool, share_allocator.SLOTS)] = float(slots)
        self._slices.set_owed(owed)
        slices = self._slices.update(self.demand(now), now)
        rates = {}
        for key, rate in slices.items():
            if key in self._owed:
                rates[key] = rate
        self._shares.set_slices(rates, now)
        decisions = []
        for pool in set(self._pool_slots) | set(self._queues):
            part = slices.get((pool, share_allocator.SLOTS), 0.0)
            limit = math.ceil(part * SLOTS_FACTOR)
            queue = self._find_or_create_queue(pool)
            decisions.extend(queue.set_limit(limit, now))
            decisions.extend(queue.reassess(now))
        return self._apply(decisions, now)

    def _find_or_create_queue(self, pool):
        if pool not in self._queues:
            self._queues[pool] = admission_queue.AdmissionQueue(0, self._random_state)
        return self._queues[pool]

    def _apply(self, decisions, now):
        for item in decisions:
            if item.outcome != decision.REFUSED:
                continue
            entry = self._entries.pop(item.request_id)
            if entry.within_share:
                request = entry.request
                self._shares.give_back(request.workspace, request.tokens, now)
        return decisions
