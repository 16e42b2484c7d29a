"""Admission queues and workspace shares of one node."""

import dataclasses
import math

from lynxlanding.admission import (
    admission_queue,
    decision,
    rate_meter,
    share_allocator,
    workspace_shares,
)

# A node admits this multiple of its part of the endpoints' slots, so that an endpoint that receives
# slightly fewer requests than the others still has one queued when a slot becomes free. With
# reports that lag by 0.5 s, a factor of 1 loses 13% of the goodput at twice the capacity; with 1.5,
# requests within share wait longer behind excess requests that were admitted before them.
SLOT_OVERCOMMIT_FACTOR = 1.25


@dataclasses.dataclass(slots=True)
class _Entry:
    request: object
    within_share: bool


class AdmissionController:
    """Decides about all requests of a node.

    The limit of each pool's queue is derived from the node's part of the pool's slots, which are
    split between the nodes by their demand.

    Parameters
    ----------
    node_id : str
        Id of this node.
    random_state : numpy.random.Generator
        Source of the jitter of ``Retry-After``.
    allocator : share_allocator.ShareAllocator, optional
        Splits guaranteed rates and slots between the nodes.
    """

    def __init__(self, node_id, random_state, allocator=None):
        self._random_state = random_state
        self._allocator = allocator or share_allocator.ShareAllocator(node_id)
        self._shares = workspace_shares.WorkspaceShares()
        self._queues = {}
        self._entries = {}
        self._meters = {}
        self._guaranteed_rates = {}
        self._pool_slots = {}

    @property
    def allocator(self):
        """Allocator, which receives the demand of the other nodes."""
        return self._allocator

    def queues(self):
        """Return the queues by pool."""
        return self._queues

    def set_guaranteed_rates(self, rates, now):
        """Replace the guaranteed rates: a dict of (workspace, unit) to rate."""
        self._guaranteed_rates = dict(rates)
        return self.update(now)

    def set_pool_slots(self, slots, now):
        """Replace the slots of the usable endpoints: a dict of pool to number of slots."""
        self._pool_slots = dict(slots)
        return self.update(now)

    def demand(self, now):
        """Return the demand at this node, to be sent to the other nodes."""
        demand = self._shares.demand(now)
        # The slots demanded for requests within share follow from the allocated rates, not from the
        # requests that were admitted: a node with too few slots would never demand more otherwise.
        for (pool, workspace), meter in self._meters.items():
            rate = meter.rate(now)
            within_share_rate = rate * self._shares.within_share_fraction(workspace, now)
            slots = within_share_rate * self._queues[pool].mean_service_time_s
            slots_key = (pool, share_allocator.SLOTS)
            demand[slots_key] = demand.get(slots_key, 0.0) + slots
            excess_key = (pool, share_allocator.EXCESS)
            demand[excess_key] = demand.get(excess_key, 0.0) + rate - within_share_rate
        return demand

    def offer(self, request, now):
        """Decide about a new request; return its decision first, then those that result from it."""
        queue = self._find_or_create_queue(request.pool)
        within_share = self._shares.record_request(request.workspace, request.tokens, now)
        meter = self._meters.setdefault((request.pool, request.workspace), rate_meter.RateMeter())
        meter.add(1.0, now)
        self._entries[request.request_id] = _Entry(request, within_share)
        weight = self._shares.weight(request.workspace)
        return self._refund_refused(queue.offer(request, within_share, now, weight), now)

    def release(self, request_id, now, tokens=None):
        """Release a request that ended, or whose caller disconnected while it was queued.

        Parameters
        ----------
        request_id : str
            Id of the request; unknown ids are ignored.
        now : float
            Monotonic time in seconds.
        tokens : float, optional
            Actual number of tokens of the response.

        Returns
        -------
        list of decision.Decision
            Resulting decisions about queued requests.
        """
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return []
        request = entry.request
        queue = self._queues[request.pool]
        if entry.within_share and queue.is_queued(request_id):
            self._shares.refund(request.workspace, request.tokens, now)
        elif entry.within_share and tokens is not None:
            self._shares.correct_tokens(request.workspace, tokens - request.tokens, now)
        return self._refund_refused(queue.release(request_id, now), now)

    def update(self, now):
        """Update allocations and limits, and refuse requests that cannot meet their deadline.

        Must be called every few hundred milliseconds.
        """
        totals = dict(self._guaranteed_rates)
        for pool, slots in self._pool_slots.items():
            totals[(pool, share_allocator.SLOTS)] = float(slots)
        self._allocator.set_totals(totals)
        allocations = self._allocator.update(self.demand(now), now)
        rates = {}
        for key, rate in allocations.items():
            if key in self._guaranteed_rates:
                rates[key] = rate
        self._shares.set_allocations(rates, now)
        decisions = []
        for pool in set(self._pool_slots) | set(self._queues):
            slots = allocations.get((pool, share_allocator.SLOTS), 0.0)
            limit = math.ceil(slots * SLOT_OVERCOMMIT_FACTOR)
            queue = self._find_or_create_queue(pool)
            decisions.extend(queue.set_limit(limit, now))
            decisions.extend(queue.refuse_late(now))
        return self._refund_refused(decisions, now)

    def _find_or_create_queue(self, pool):
        if pool not in self._queues:
            self._queues[pool] = admission_queue.AdmissionQueue(0, self._random_state)
        return self._queues[pool]

    def _refund_refused(self, decisions, now):
        for item in decisions:
            if item.outcome != decision.REFUSED:
                continue
            entry = self._entries.pop(item.request_id)
            if entry.within_share:
                request = entry.request
                self._shares.refund(request.workspace, request.tokens, now)
        return decisions
