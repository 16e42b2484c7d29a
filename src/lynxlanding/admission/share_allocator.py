"""Allocates guaranteed rates and slots to this node."""

import dataclasses
import math

from lynxlanding.admission import _proportional_split

# Nodes of other data centres are suspected after 15 s. Gossip between 410 nodes takes a few
# seconds, so a shorter time would freeze allocations in normal operation.
FREEZE_AFTER_S = 15.0
EXPIRE_AFTER_S = 30.0

# Second part of the keys of a pool. The demand for slots comes from the requests within share;
# the remaining slots are split by the rate of excess requests. Keys of a workspace have the unit of
# its rate instead.
SLOTS = "slots"
EXCESS = "excess"

SHARED = "shared"
FROZEN = "frozen"


@dataclasses.dataclass(slots=True)
class _Peer:
    added_at: float
    last_heartbeat_at: float = -math.inf
    demand: dict = dataclasses.field(default_factory=dict)


class ShareAllocator:
    """Splits guaranteed rates and slots between the nodes by their demand.

    While any known node is silent, all allocated rates are frozen: silent nodes continue to use
    theirs, so the sum stays within the guaranteed rate. A node that is silent for
    ``expire_after_s`` is removed, and the nodes that receive each other's demand share the whole
    rate. If removed nodes are alive but partitioned from the others, the overshoot is at most the
    number of sides of the partition. Rates are also frozen while the demand of some known node has
    never been received; a rate without an earlier allocation is then set to the minimum allocation.

    Parameters
    ----------
    node_id : str
        Id of this node.
    freeze_after_s, expire_after_s : float, optional
        Silence of a node after which allocated rates are frozen, and after which the node is
        removed, in seconds.
    """

    def __init__(self, node_id, freeze_after_s=FREEZE_AFTER_S, expire_after_s=EXPIRE_AFTER_S):
        self._node_id = node_id
        self._freeze_after_s = freeze_after_s
        self._expire_after_s = expire_after_s
        self._totals = {}
        self._peers = {}
        self._last_fractions = {}
        self._state = SHARED

    @property
    def state(self):
        """``shared`` or ``frozen``, as of the last update."""
        return self._state

    @property
    def node_count(self):
        """Number of nodes that share the totals, including this one."""
        return len(self._peers) + 1

    def set_totals(self, totals):
        """Replace the totals to split: a dict of key to rate or number of slots."""
        self._totals = dict(totals)
        for key in list(self._last_fractions):
            if key not in self._totals:
                del self._last_fractions[key]

    def add_node(self, node_id, now):
        """Add a node, whether or not its demand has been received."""
        if node_id != self._node_id and node_id not in self._peers:
            self._peers[node_id] = _Peer(now)

    def record_demand(self, node_id, demand, last_heartbeat_at):
        """Record the demand of a node.

        Parameters
        ----------
        node_id : str
            Id of the node.
        demand : dict of key to float
            Demand of the node for each key.
        last_heartbeat_at : float
            Monotonic time of the node's newest heartbeat, in seconds.
        """
        if node_id == self._node_id:
            return
        peer = self._peers.setdefault(node_id, _Peer(last_heartbeat_at))
        if last_heartbeat_at < peer.last_heartbeat_at:
            return
        peer.last_heartbeat_at = last_heartbeat_at
        peer.demand = dict(demand)

    def remove_node(self, node_id):
        """Remove a node after a planned stop."""
        self._peers.pop(node_id, None)

    def update(self, own_demand, now):
        """Update and return the allocations of this node.

        Parameters
        ----------
        own_demand : dict of key to float
            Demand of this node for each key.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of key to float
            Allocation for each key of the totals.
        """
        self._state = SHARED
        for node_id, peer in list(self._peers.items()):
            silence_s = now - max(peer.last_heartbeat_at, peer.added_at)
            if silence_s > self._expire_after_s:
                del self._peers[node_id]
            elif silence_s > self._freeze_after_s or peer.last_heartbeat_at == -math.inf:
                self._state = FROZEN
        allocations = {}
        node_count = len(self._peers) + 1
        without_heartbeat_count = sum(
            peer.last_heartbeat_at == -math.inf for peer in self._peers.values()
        )
        for key, total in self._totals.items():
            if self._state == FROZEN and key[1] != SLOTS:
                floor_fraction = 1.0 / (_proportional_split.FLOOR_DIVISOR * node_count)
                allocations[key] = total * self._last_fractions.get(key, floor_fraction)
                continue
            if key[1] == SLOTS:
                # Slots are not guaranteed to anyone. The part of a silent node is reallocated
                # immediately, because its callers move to the other nodes immediately too; the
                # endpoints refuse requests beyond their capacity. A node whose demand was never
                # received keeps an equal part, so that nodes that start together do not each
                # allocate all slots to themselves.
                within_share = self._demands(own_demand, key, now)
                excess = self._demands(own_demand, (key[0], EXCESS), now)
                available = total * (node_count - without_heartbeat_count) / node_count
                allocations[key] = _proportional_split.split_slots(
                    available, within_share, excess, 0
                )
                continue
            allocations[key] = _proportional_split.split_total(
                total, self._demands(own_demand, key), 0
            )
            if total > 0:
                self._last_fractions[key] = allocations[key] / total
        return allocations

    def _demands(self, own_demand, key, live_at=None):
        demands = [own_demand.get(key, 0.0)]
        for peer in self._peers.values():
            if live_at is not None and live_at - peer.last_heartbeat_at > self._freeze_after_s:
                continue
            demands.append(peer.demand.get(key, 0.0))
        return demands
