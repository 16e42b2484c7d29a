"""Owner of the admission queues and workspace shares."""

import time

import pykka

from lynxlanding.admission import admission_controller, decision, share_allocator

# Membership lists a silent node as suspected after 3 s in the own data centre. The slices are
# frozen from then on, and shared by the rest 30 s after its last heartbeat.
FREEZE_AFTER_S = 1.0
FORGET_AFTER_S = 27.0


class AdmissionActor(pykka.ThreadingActor):
    """Admits, queues and refuses requests.

    Parameters
    ----------
    node_id : str
        Name of the node.
    random_state : numpy.random.Generator
        Spreads ``Retry-After``.
    """

    def __init__(self, node_id, random_state):
        super().__init__()
        self._node_id = node_id
        slices = share_allocator.ShareSlices(node_id, FREEZE_AFTER_S, FORGET_AFTER_S)
        self._controller = admission_controller.AdmissionController(node_id, random_state, slices)
        self._waiting = {}

    def set_owed(self, owed):
        """Replace the owed rates: a dict of (workspace, unit) to rate."""
        self._apply(self._controller.set_owed(owed, time.monotonic()))

    def set_pool_slots(self, slots):
        """Replace the slots of the usable endpoints, and do what is due by now."""
        self._apply(self._controller.set_pool_slots(slots, time.monotonic()))

    def offer(self, request, on_decision):
        """Decide about a request.

        Parameters
        ----------
        request : admission_request.AdmissionRequest
            The request.
        on_decision : callable
            Called with the second decision if the first one is to queue it; must not block.

        Returns
        -------
        decision.Decision
        """
        decisions = self._controller.offer(request, time.monotonic())
        if decisions[0].outcome == decision.QUEUED:
            self._waiting[request.request_id] = on_decision
        self._apply(decisions[1:])
        return decisions[0]

    def end(self, request_id, tokens=None):
        """Release a request, or remove it from the queue; ``tokens`` is what it really had."""
        self._waiting.pop(request_id, None)
        self._apply(self._controller.end(request_id, time.monotonic(), tokens))

    def hear(self, members, demand_by_node):
        """Take the membership and the demand of the other nodes.

        Parameters
        ----------
        members : iterable of str
            Names of all known nodes, also silent ones.
        demand_by_node : dict of str to list
            Demand of the nodes that are live, as ``demand`` returns it.
        """
        now = time.monotonic()
        slices = self._controller.slices
        for node_id in members:
            slices.expect_node(node_id, now)
        for node_id, rows in demand_by_node.items():
            slices.hear(node_id, _decode_demand(rows), now)

    def demand(self):
        """Return the demand of this node as rows of name, unit and rate."""
        rows = []
        for (name, unit), rate in sorted(self._controller.demand(time.monotonic()).items()):
            # Three digits keep the rows small; smaller rates are noise.
            rounded = float(f"{rate:.3g}") if rate > 0.01 else 0.0
            if rounded > 0:
                rows.append([name, unit, rounded])
        return rows

    def status(self):
        """Return queue lengths, requests in flight and limits by pool, and the slices' state."""
        pools = {}
        for pool, queue in self._controller.queues().items():
            pools[pool] = (len(queue), queue.in_flight, queue.limit)
        return {"pools": pools, "slices": self._controller.slices.state}

    def _apply(self, decisions):
        for item in decisions:
            on_decision = self._waiting.pop(item.request_id, None)
            if on_decision is not None:
                on_decision(item)


def _decode_demand(rows):
    demand = {}
    for row in rows if isinstance(rows, list) else []:
        try:
            name, unit, rate = row
            demand[(str(name), str(unit))] = max(0.0, float(rate))
        except (TypeError, ValueError):
            # Another version of the node may publish rows that this one does not know.
            continue
    return demand
