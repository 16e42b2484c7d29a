"""Feeds admission with slots, membership and the demand of the other nodes."""

import logging
import threading

from lynxlanding.admission import admission_gate, workspace_shares
from lynxlanding.membership import scopes

TICK_S = 0.25
TICKS_PER_EXCHANGE = 4
DEMAND_KEY = "admission-demand"

# Smaller changes of a rate are not published: at 410 nodes, each publication costs every node
# bandwidth.
CHANGE_FRACTION = 0.1

_logger = logging.getLogger(__name__)


class AdmissionLoop:
    """Timer of the ``AdmissionActor``.

    Parameters
    ----------
    admission : AdmissionActor proxy
        Receives slots and demand.
    router : RoutingActor proxy
        Names the slots, and learns the number of nodes.
    membership : MembershipActor proxy
        Disseminates the demand.
    """

    def __init__(self, admission, router, membership):
        self._admission = admission
        self._router = router
        self._membership = membership
        self._stop = threading.Event()
        self._published = None

    def start(self):
        """Start the timer."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop the timer."""
        self._stop.set()

    def read_slots(self):
        """Return the slots of the usable endpoints by pool."""
        slots = {}
        for (kind, target), count in self._router.pool_slots().get().items():
            slots[admission_gate.pool_name(kind, target)] = count
        return slots

    def _run(self):
        tick = 0
        while not self._stop.wait(TICK_S):
            try:
                if tick % TICKS_PER_EXCHANGE == 0:
                    self._exchange()
                self._admission.set_pool_slots(self.read_slots()).get()
            except Exception:
                _logger.exception("the admission timer failed")
            tick += 1

    def _exchange(self):
        members = self._membership.members().get()
        demand_by_node = self._membership.read(DEMAND_KEY).get()
        self._admission.record_peer_demand(
            [member.node_id for member in members], demand_by_node
        ).get()
        self._router.set_node_count(max(1, len(members))).get()
        rows = self._admission.demand().get()
        current = {(name, unit): rate for name, unit, rate in rows}
        if _differs(current, self._published):
            self._published = current
            self._membership.publish(DEMAND_KEY, rows, scopes.WIDE).get()


def owed_rates(snapshot):
    """Return the owed rates of a configuration: a dict of (workspace, unit) to rate."""
    owed = {}
    for name, spec in snapshot.of_kind("workspaces").items():
        if spec.owed_requests_per_s > 0:
            owed[(name, workspace_shares.REQUESTS)] = spec.owed_requests_per_s
        if spec.owed_tokens_per_s > 0:
            owed[(name, workspace_shares.TOKENS)] = spec.owed_tokens_per_s
    return owed


def _differs(current, earlier):
    if earlier is None:
        # The first publication also tells the others that this node is heard.
        return True
    for key in current.keys() | earlier.keys():
        rate = current.get(key, 0.0)
        before = earlier.get(key, 0.0)
        if abs(rate - before) > CHANGE_FRACTION * max(rate, before):
            return True
    return False
