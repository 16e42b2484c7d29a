"""Prefix affinity with a load bound."""

import itertools

from lynxlanding.routing import prefix, two_choices_policy

LOAD_BOUND = 1.25
RING_CANDIDATES = 2

# Points visited before the ring is given up; also bounds the cost while many are unusable.
MAX_RING_POINTS = 32

# Holders of the prefix outside of the ring candidates that are drawn.
HOLDER_DRAWS = 2


class PrefixAffinityPolicy:
    """Sends prompts with the same prefix to the same endpoints while these are not overloaded.

    The ring candidates of the prefix come first, then endpoints that reported the prefix in their
    cache, each only below the load bound (consistent hashing with bounded loads, Mirrokni, Thorup
    and Zadimoghaddam, 2018). Otherwise the better of two random endpoints is taken.

    Parameters
    ----------
    load_bound : float, optional
        Largest load of a preferred endpoint as a multiple of the mean load.
    use_cache_events : bool, optional
        Whether known cache contents are considered.
    """

    def __init__(self, load_bound=LOAD_BOUND, use_cache_events=True):
        self._load_bound = load_bound
        self._use_cache_events = use_cache_events
        self._fallback = two_choices_policy.TwoChoicesPolicy()

    def choose(self, pool, request, now, random_state):
        """Return an endpoint that probably has the prefix cached, or None."""
        if request.prefix is not None:
            preferred = self._choose_preferred(pool, request, now, random_state)
            if preferred is not None:
                return preferred
        return self._fallback.choose(pool, request, now, random_state)

    def _choose_preferred(self, pool, request, now, random_state):
        holders = pool.holders(request.prefix) if self._use_cache_events else None
        best = None
        best_key = None
        for state, holds in self._candidates(pool, request, holders, random_state):
            if state.address in request.excluded or not self._is_below_bound(pool, state, now):
                continue
            # Among the candidates, one that holds the prefix is taken first, then the less loaded.
            key = (not holds, state.score(pool.node_count, now))
            if best is None or key < best_key:
                best = state
                best_key = key
        return best

    def _candidates(self, pool, request, holders, random_state):
        on_ring = pool.walk_ring(prefix.ring_hash(request.prefix), MAX_RING_POINTS)
        for state in itertools.islice(on_ring, RING_CANDIDATES):
            yield state, holders is not None and state.address in holders
        if holders is None:
            return
        # Random draws, because nodes that take the holders in the same order overload the first.
        for _ in range(HOLDER_DRAWS):
            state = pool.find_usable(holders.draw(random_state))
            if state is not None:
                yield state, True

    def _is_below_bound(self, pool, state, now):
        # One request is added on both sides, so that an idle pool has room on every endpoint.
        mean = (pool.total_load + 1) / pool.total_slots
        limit = max(1.0, self._load_bound * mean * state.slots)
        load = state.projected_load(pool.node_count) + 1
        return load <= limit + 1e-9 and state.straggler_factor(now) == 1.0
