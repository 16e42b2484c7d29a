"""Prefix affinity with a load bound."""

from lynxlanding.routing import prefix, two_choices_policy

LOAD_BOUND = 1.25
RING_CANDIDATES = 2

# Points visited before the ring is given up; also bounds the cost while many are unusable.
MAX_RING_POINTS = 32

# Endpoints outside of the ring candidates that are considered because they hold the prefix.
MAX_HOLDERS = 4


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
            preferred = self._choose_preferred(pool, request, now)
            if preferred is not None:
                return preferred
        return self._fallback.choose(pool, request, now, random_state)

    def _choose_preferred(self, pool, request, now):
        holders = pool.holders(request.prefix) if self._use_cache_events else ()
        first = None
        count = 0
        for state in pool.walk_ring(prefix.ring_hash(request.prefix), MAX_RING_POINTS):
            if state.address in request.excluded:
                continue
            count += 1
            if self._is_below_bound(pool, state, now):
                if state.address in holders:
                    return state
                if first is None:
                    first = state
            if count == RING_CANDIDATES:
                break
        considered = 0
        for address in holders:
            considered += 1
            if considered > MAX_HOLDERS:
                break
            state = pool.find_usable(address)
            if state is None or address in request.excluded:
                continue
            if self._is_below_bound(pool, state, now):
                return state
        return first

    def _is_below_bound(self, pool, state, now):
        # One request is added on both sides, so that an idle pool has room on every endpoint.
        mean = (pool.total_load + 1) / pool.total_slots
        limit = max(1.0, self._load_bound * mean * state.slots)
        return state.load + 1 <= limit + 1e-9 and state.straggler_factor(now) == 1.0
