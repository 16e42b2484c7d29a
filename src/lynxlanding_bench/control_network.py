"""Delays and faults of the network and the store in trials."""

import numpy as np

MAX_PLACES = 15
NODES_PER_PLACE = 3
REGIONS = 5
SAME_PLACE_S = 0.00025
SAME_REGION_S = 0.00075
OTHER_REGION_S = 0.040
# Time in which a node handles a message, with some queueing.
HANDLING_S = 0.002
# Counted for each message besides its body: half of the 340 bytes of request and response headers
# of one POST, and 230 bytes for the TCP/IP headers of a connection of its own.
HTTP_BYTES = 400
FAILURE_S = 0.5
STORE_S = 0.005


def places(nodes):
    """Return the data centres of a fleet: three nodes each, at most 15."""
    count = min(MAX_PLACES, max(1, nodes // NODES_PER_PLACE))
    return [f"place-{index:02d}" for index in range(count)]


def region(place):
    """Return the region of a data centre."""
    return f"region-{int(place[-2:]) % REGIONS}"


class ControlNetwork:
    """Random delays, and who reaches the store.

    Parameters
    ----------
    seed : int
        Seed of the delays.
    store_s : float
        Mean delay of a store call, seconds.
    """

    def __init__(self, seed, store_s=STORE_S):
        self._random = np.random.default_rng(seed)
        self._store_s = store_s
        self._is_store_available = True
        self._cut_nodes = frozenset()

    def set_store_available(self, is_available):
        """Make the store available or not."""
        self._is_store_available = is_available

    def cut_from_store(self, names):
        """Cut some nodes from the store."""
        self._cut_nodes = frozenset(names)

    def reaches_store(self, name):
        """Return whether a node reaches the store."""
        return self._is_store_available and name not in self._cut_nodes

    def store_delay(self):
        """Return the delay of one store call, seconds."""
        return self._store_s * (0.5 + self._random.random())

    def delay(self, source, target):
        """Return the delay of one message between two nodes, seconds."""
        base = OTHER_REGION_S
        if source.place == target.place:
            base = SAME_PLACE_S
        elif source.region == target.region:
            base = SAME_REGION_S
        return base + HANDLING_S * float(self._random.exponential())
