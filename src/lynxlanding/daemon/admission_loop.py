"""Periodic updates of admission: slots, membership and the demand at other nodes."""

import logging
import threading

from lynxlanding.admission import admission_gate, workspace_shares
from lynxlanding.membership import scopes

TICK_INTERVAL_S = 0.25
TICKS_PER_DEMAND_EXCHANGE = 4
DEMAND_KEY = "admission-demand"

# Smaller relative changes of a rate are not published: with 410 nodes, each publication costs
# bandwidth at every node.
MIN_RELATIVE_CHANGE = 0.1

_logger = logging.getLogger(__name__)


class AdmissionLoop:
    """Periodically updates the ``AdmissionActor`` and publishes its demand.

    Parameters
    ----------
    admission : AdmissionActor proxy
        Receives the slots and the demand of the other nodes.
    router : RoutingActor proxy
        Provides the slots by pool and receives the number of nodes.
    membership : MembershipActor proxy
        Gossips the demand between nodes.
    """

    def __init__(self, admission, router, membership):
        self._admission = admission
        self._router = router
        self._membership = membership
        self._stop = threading.Event()
        self._published_demand = None

    def start(self):
        """Start the update thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Stop the update thread."""
        self._stop.set()

    def read_slots(self):
        """Return the slots of the usable endpoints by pool."""
        slots = {}
        for (kind, target), count in self._router.pool_slots().get().items():
            slots[admission_gate.pool_name(kind, target)] = count
        return slots

    def _run(self):
        tick = 0
        while not self._stop.wait(TICK_INTERVAL_S):
            try:
                if tick % TICKS_PER_DEMAND_EXCHANGE == 0:
                    self._exchange_demand()
                self._admission.set_pool_slots(self.read_slots()).get()
            except Exception:
                _logger.exception("unexpected error in the admission update")
            tick += 1

    def _exchange_demand(self):
        members = self._membership.members().get()
        demand_by_node = self._membership.read(DEMAND_KEY).get()
        self._admission.record_peer_demand(
            [member.node_id for member in members], demand_by_node
        ).get()
        self._router.set_node_count(max(1, len(members))).get()
        demand_rows = self._admission.demand().get()
        current = {(name, unit): rate for name, unit, rate in demand_rows}
        if _has_changed(current, self._published_demand):
            self._published_demand = current
            self._membership.publish(DEMAND_KEY, demand_rows, scopes.WIDE).get()


def guaranteed_rates(snapshot):
    """Return the guaranteed rates of a configuration by (workspace, unit)."""
    rates = {}
    for name, spec in snapshot.of_kind("workspaces").items():
        if spec.owed_requests_per_s > 0:
            rates[(name, workspace_shares.REQUESTS)] = spec.owed_requests_per_s
        if spec.owed_tokens_per_s > 0:
            rates[(name, workspace_shares.TOKENS)] = spec.owed_tokens_per_s
    return rates


def _has_changed(current, published):
    if published is None:
        # The first publication also tells the other nodes that this node takes part in the
        # exchange.
        return True
    for key in current.keys() | published.keys():
        rate = current.get(key, 0.0)
        published_rate = published.get(key, 0.0)
        if abs(rate - published_rate) > MIN_RELATIVE_CHANGE * max(rate, published_rate):
            return True
    return False
