"""The endpoints that can serve one kind of request."""

from lynxlanding.routing import _sample_set, hash_ring


class EndpointPool:
    """Endpoints of one service (and adapter) with the sums that policies need.

    The view keeps the set of usable endpoints and the sums up to date on every event, so that a
    decision scans nothing.

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
        """Endpoints that may receive requests, a set with random draws."""
        return self._usable

    @property
    def candidates(self):
        """Usable endpoints; the ejected ones if no endpoint is usable.

        Requests that make every endpoint fail must not stop the service for all other requests.
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
        """Mean load for each slot of the usable endpoints."""
        return self._total_load / self._total_slots if self._total_slots else 0.0

    def members(self):
        """Return all members, usable or not."""
        return self._members.values()

    def holders(self, prefix):
        """Return the set of addresses known to hold a prefix, or None."""
        return self._cache.holders(prefix)

    def find_usable(self, address):
        """Return the usable endpoint with an address, or None."""
        state = self._members.get(address)
        return state if state is not None and state in self._usable else None

    def walk_ring(self, key_hash, limit):
        """Yield usable endpoints in ring order from a key, each at most once."""
        seen = set()
        for address in self._ring.walk(key_hash, limit):
            if address in seen:
                continue
            seen.add(address)
            state = self.find_usable(address)
            if state is not None:
                yield state

    def update_members(self, added, removed):
        """Add and remove endpoint states; the caller refreshes usability afterwards."""
        for state in removed:
            self.set_usable(state, False)
            del self._members[state.address]
            state.pools.remove(self)
        for state in added:
            self._members[state.address] = state
            state.pools.append(self)
        self._ring.update([state.address for state in added], [state.address for state in removed])

    def set_usable(self, state, is_usable, is_ejected=False):
        """Sort an endpoint into the usable set, the ejected set or neither."""
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

    def shift_load(self, state, load_delta, slots_delta):
        """Follow a change of an endpoint's load and slots."""
        if state in self._usable:
            self._total_load += load_delta
            self._total_slots += slots_delta
