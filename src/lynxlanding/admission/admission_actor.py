"""Actor that owns the admission queues and workspace shares."""

import time

import pykka

from lynxlanding.admission import admission_controller, decision, share_allocator

# Counted from the last demand of a silent node. The membership service suspects a silent node of
# the same data centre after 3 s, and its demand is no longer passed on. Allocations are frozen from
# then on, and shared by the remaining nodes 30 s after the silent node's last heartbeat.
FREEZE_AFTER_S = 1.0
EXPIRE_AFTER_S = 27.0


class AdmissionActor(pykka.ThreadingActor):
    """Admits, queues and refuses requests.

    Parameters
    ----------
    node_id : str
        Id of this node.
    random_state : numpy.random.Generator
        Source of the jitter of ``Retry-After``.
    """

    def __init__(self, node_id, random_state):
        super().__init__()
        self._node_id = node_id
        allocator = share_allocator.ShareAllocator(node_id, FREEZE_AFTER_S, EXPIRE_AFTER_S)
        self._controller = admission_controller.AdmissionController(
            node_id, random_state, allocator
        )
        self._callbacks = {}

    def set_guaranteed_rates(self, rates):
        """Replace the guaranteed rates: a dict of (workspace, unit) to rate."""
        self._deliver(self._controller.set_guaranteed_rates(rates, time.monotonic()))

    def set_pool_slots(self, slots):
        """Replace the slots of the usable endpoints by pool, and update allocations and queues."""
        self._deliver(self._controller.set_pool_slots(slots, time.monotonic()))

    def offer(self, request, on_decision):
        """Decide whether to admit, queue or refuse a request.

        Parameters
        ----------
        request : admission_request.AdmissionRequest
            The request.
        on_decision : callable
            Called with the second decision if the request is queued first; must not block.

        Returns
        -------
        decision.Decision
        """
        decisions = self._controller.offer(request, time.monotonic())
        if decisions[0].outcome == decision.QUEUED:
            self._callbacks[request.request_id] = on_decision
        self._deliver(decisions[1:])
        return decisions[0]

    def release(self, request_id, tokens=None):
        """Release an admitted request, or remove a queued one.

        Parameters
        ----------
        request_id : str
            Id of the request.
        tokens : float, optional
            Actual number of tokens of the response.
        """
        self._callbacks.pop(request_id, None)
        self._deliver(self._controller.release(request_id, time.monotonic(), tokens))

    def record_peer_demand(self, members, demand_by_node):
        """Record the known nodes and the demand of the other nodes.

        Parameters
        ----------
        members : iterable of str
            Ids of all known nodes, including silent ones.
        demand_by_node : dict of str to list
            Demand of the live nodes by node id, in the format of ``demand``.
        """
        now = time.monotonic()
        allocator = self._controller.allocator
        for node_id in members:
            allocator.add_node(node_id, now)
        for node_id, rows in demand_by_node.items():
            allocator.record_demand(node_id, _decode_demand(rows), now)

    def demand(self):
        """Return the demand at this node as rows of name, unit and rate."""
        rows = []
        for (name, unit), rate in sorted(self._controller.demand(time.monotonic()).items()):
            # Three significant digits keep the rows small; rates below 0.01 are noise.
            rounded = float(f"{rate:.3g}") if rate > 0.01 else 0.0
            if rounded > 0:
                rows.append([name, unit, rounded])
        return rows

    def status(self):
        """Return queue length, requests in flight and limit by pool, and the allocations' state."""
        pools = {}
        for pool, queue in self._controller.queues().items():
            pools[pool] = (len(queue), queue.in_flight, queue.limit)
        return {"pools": pools, "slices": self._controller.allocator.state}

    def _deliver(self, decisions):
        for item in decisions:
            on_decision = self._callbacks.pop(item.request_id, None)
            if on_decision is not None:
                on_decision(item)


def _decode_demand(rows):
    demand = {}
    for row in rows if isinstance(rows, list) else []:
        try:
            name, unit, rate = row
            demand[(str(name), str(unit))] = max(0.0, float(rate))
        except (TypeError, ValueError):
            # A node of another version may publish rows in a format unknown to this one.
            continue
    return demand
