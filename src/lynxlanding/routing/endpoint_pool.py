"""Endpoints that can serve one kind of request."""

from lynxlanding.routing import _sample_set, hash_ring


class EndpointPool:
    """Endpoints of one service, or of one of its adapters, with the totals that policies need.

    The view updates the set of usable endpoints and the totals on every event, so that a routing
    decision does not scan the endpoints.

    Parameters
    ----------
    cache : cache_index.CacheIndex
        Index of cached prefixes.
    """

    def __init__(self, cache):
        self._cache = cache
        self._members = {}
        self._usable = _sample_set.SampleSet()
        self._ejected = _sample_set.SampleSet()
        self._ring = hash_ring.HashRing()
        self._total_load = 0
        self._total_slots = 0
        self._node_count = 1

    def __len__(self):
        return len(self._members)

    @property
    def usable(self):
        """``SampleSet`` of the endpoints that may receive requests."""
        return self._usable

    @property
    def candidates(self):
        """Usable endpoints, or the ejected ones if no endpoint is usable.

        Otherwise, requests that make every endpoint fail would stop the service for all others.
        """
        return self._usable if len(self._usable) else self._ejected

    @property
    def total_load(self):
        """Sum of the loads of the usable endpoints."""
        return self._total_load

    @property
    def total_slots(self):
        """Sum of the slots of the usable endpoints."""
        return self._total_slots

    @property
    def node_count(self):
        """Number of nodes that send requests to these endpoints."""
        return self._node_count

    @node_count.setter
    def node_count(self, count):
        self._node_count = max(1, count)

    @property
    def mean_load(self):
        """Mean load per slot of the usable endpoints."""
        return self._total_load / self._total_slots if self._total_slots else 0.0

    def members(self):
        """Return the states of all members, including those that are not usable."""
        return self._members.values()

    def holders(self, prefix_key):
        """Return the ``SampleSet`` of addresses known to hold a prefix, or None if none is.

        It may contain endpoints outside of the pool.
        """
        return self._cache.holders(prefix_key)

    def find_usable(self, address):
        """Return the endpoint with an address if it is usable, otherwise None."""
        state = self._members.get(address)
        return state if state is not None and state in self._usable else None

    def walk_ring(self, key_hash, limit):
        """Yield usable endpoints in ring order from a key, each at most once.

        At most ``limit`` points of the ring are visited.
        """
        seen = set()
        for address in self._ring.walk(key_hash, limit):
            if address in seen:
                continue
            seen.add(address)
            state = self.find_usable(address)
            if state is not None:
                yield state

    def update_members(self, added, removed):
        """Add and remove endpoints; the caller must then call ``set_usable`` for the added ones."""
        for state in removed:
            self.set_usable(state, False)
            del self._members[state.address]
            state.pools.remove(self)
        for state in added:
            self._members[state.address] = state
            state.pools.append(self)
        self._ring.update([state.address for state in added], [state.address for state in removed])

    def set_usable(self, state, is_usable, is_ejected=False):
        """Move an endpoint to the usable set, the ejected set or neither."""
        if is_ejected:
            self._ejected.add(state)
        else:
            self._ejected.discard(state)
        if is_usable:
            if self._usable.add(state):
                self._total_load += state.load
                self._total_slots += state.slots
            return
        if self._usable.discard(state):
            self._total_load -= state.load
            self._total_slots -= state.slots

    def adjust_totals(self, state, load_delta, slots_delta):
        """Update the totals after a change of an endpoint's load and slots."""
        if state in self._usable:
            self._total_load += load_delta
            self._total_slots += slots_delta
