"""A node's slices of the rates that are owed to workspaces."""

import dataclasses
import math

from lynxlanding.admission import _proportional_split

# Nodes of other data centres are suspected after 15 s; gossip between 410 nodes takes a few
# seconds, so a shorter time would freeze slices in normal operation.
FREEZE_AFTER_S = 15.0
FORGET_AFTER_S = 30.0

# Second part of keys. Rates are in requests/s or tokens/s. Of a pool, slots are demanded by the
# requests within share and shared by those in excess.
SLOTS = "slots"
EXCESS = "excess"

SHARED = "shared"
FROZEN = "frozen"


@dataclasses.dataclass(slots=True)
class _Peer:
    known_at: float
    heard_at: float = -math.inf
    demand: dict = dataclasses.field(default_factory=dict)


class ShareSlices:
    """Splits owed rates between the nodes by their demand.

    While any known node is silent, all slices stay as they are: the silent nodes go on using
    theirs, so the sum stays within what is owed. A node that is silent for 30 s is left out, and
    the nodes that hear each other share the whole rate; with nodes that are cut off but alive, the
    overshoot is at most the number of sides of the partition. A node that has never heard a known
    node uses the floor.

    Parameters
    ----------
    node_id : str
        Name of this node.
    freeze_after_s, forget_after_s : float, optional
        Silence after which slices are frozen, and after which a node is left out, in seconds.
    """

    def __init__(self, node_id, freeze_after_s=FREEZE_AFTER_S, forget_after_s=FORGET_AFTER_S):
        self._node_id = node_id
        self._freeze_after_s = freeze_after_s
        self._forget_after_s = forget_after_s
        self._owed = {}
        self._peers = {}
        self._fractions = {}
        self._state = SHARED

    @property
    def state(self):
        """``shared`` or ``frozen``, as of the last update."""
        return self._state

    @property
    def node_count(self):
        """Number of nodes that the rates are shared between, this one included."""
        return len(self._peers) + 1

    def set_owed(self, owed):
        """Replace the owed rates: a dict of key to rate."""
        self._owed = dict(owed)
        for key in list(self._fractions):
            if key not in self._owed:
                del self._fractions[key]

    def expect_node(self, node_id, now):
        """Note that a node exists, whether or not it was heard."""
        if node_id != self._node_id and node_id not in self._peers:
            self._peers[node_id] = _Peer(now)

    def hear(self, node_id, demand, heard_at):
        """Take a node's demand.

        Parameters
        ----------
        node_id : str
            Name of the node.
        demand : dict of key to float
            Its demand for each key.
        heard_at : float
            Monotonic time of its newest heartbeat, in seconds.
        """
        if node_id == self._node_id:
            return
        peer = self._peers.setdefault(node_id, _Peer(heard_at))
        if heard_at < peer.heard_at:
            return
        peer.heard_at = heard_at
        peer.demand = dict(demand)

    def remove_node(self, node_id):
        """Leave out a node that stopped as planned."""
        self._peers.pop(node_id, None)

    def update(self, own_demand, now):
        """Return the slices of this node.

        Parameters
        ----------
        own_demand : dict of key to float
            Demand of this node for each key.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of key to float
            Rate for each owed key.
        """
        self._state = SHARED
        for node_id, peer in list(self._peers.items()):
            silence_s = now - max(peer.heard_at, peer.known_at)
            if silence_s > self._forget_after_s:
                del self._peers[node_id]
            elif silence_s > self._freeze_after_s or peer.heard_at == -math.inf:
                self._state = FROZEN
        slices = {}
        count = len(self._peers) + 1
        unheard = sum(peer.heard_at == -math.inf for peer in self._peers.values())
        for key, owed in self._owed.items():
            if self._state == FROZEN and key[1] != SLOTS:
                floor = 1.0 / (_proportional_split.FLOOR_DIVISOR * count)
                slices[key] = owed * self._fractions.get(key, floor)
                continue
            if key[1] == SLOTS:
                # Slots are not owed to anybody: the part of a silent node goes to the others at
                # once, because its callers do so too. The endpoints refuse what is too much.
                # A node that was never heard keeps an equal part, so that nodes that start together
                # do not each take all slots.
                demands = self._demands(own_demand, key, now)
                excess = self._demands(own_demand, (key[0], EXCESS), now)
                available = owed * (count - unheard) / count
                slices[key] = _proportional_split.split_slots(available, demands, excess, 0)
                continue
            slices[key] = _proportional_split.split(owed, self._demands(own_demand, key), 0)
            if owed > 0:
                self._fractions[key] = slices[key] / owed
        return slices

    def _demands(self, own_demand, key, heard_until=None):
        demands = [own_demand.get(key, 0.0)]
        for peer in self._peers.values():
            if heard_until is not None and heard_until - peer.heard_at > self._freeze_after_s:
                continue
            demands.append(peer.demand.get(key, 0.0))
        return demands
