"""Selection by prefix affinity with a load bound."""

import itertools

from lynxlanding.routing import prefix, two_choices_policy

# Maximum load of a preferred endpoint, as a multiple of the mean load.
LOAD_BOUND = 1.25
# Usable endpoints taken from the ring.
MAX_RING_CANDIDATES = 2

# Maximum number of ring points visited. It bounds the cost of a decision if many endpoints are not
# usable.
MAX_RING_POINTS = 32

# Random draws from the endpoints that are known to hold the prefix.
HOLDER_DRAWS = 2


class PrefixAffinityPolicy:
    """Sends prompts with the same prefix to the same endpoints unless these are overloaded.

    The candidates are the prefix's first endpoints on the hash ring and some of the endpoints that
    have reported the prefix in their cache. Stragglers and candidates above the load bound are
    skipped (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018). If
    none is left, the better of two random endpoints is selected.

    Parameters
    ----------
    load_bound : float, optional
        Maximum load of a preferred endpoint, as a multiple of the mean load.
    use_cache_events : bool, optional
        Whether endpoints that reported the prefix are candidates.
    """

    def __init__(self, load_bound=LOAD_BOUND, use_cache_events=True):
        self._load_bound = load_bound
        self._use_cache_events = use_cache_events
        self._fallback = two_choices_policy.TwoChoicesPolicy()

    def choose(self, pool, request, now, random_state):
        """Return an endpoint that has probably cached the prefix, or None if all are excluded."""
        if request.prefix_key is not None:
            preferred = self._choose_preferred(pool, request, now, random_state)
            if preferred is not None:
                return preferred
        return self._fallback.choose(pool, request, now, random_state)

    def _choose_preferred(self, pool, request, now, random_state):
        holders = pool.holders(request.prefix_key) if self._use_cache_events else None
        best = None
        best_rank = None
        for state, is_holder in self._preferred_candidates(pool, request, holders, random_state):
            if state.address in request.excluded_addresses or not self._is_acceptable(
                pool, state, now
            ):
                continue
            # Prefer candidates that hold the prefix, then those with a lower score.
            rank = (not is_holder, state.score(pool.node_count, now))
            if best is None or rank < best_rank:
                best = state
                best_rank = rank
        return best

    def _preferred_candidates(self, pool, request, holders, random_state):
        ring_states = pool.walk_ring(prefix.ring_hash(request.prefix_key), MAX_RING_POINTS)
        for state in itertools.islice(ring_states, MAX_RING_CANDIDATES):
            yield state, holders is not None and state.address in holders
        if holders is None:
            return
        # Draw randomly: nodes that try the holders in the same order would overload the first one.
        for _ in range(HOLDER_DRAWS):
            state = pool.find_usable(holders.draw(random_state))
            if state is not None:
                yield state, True

    def _is_acceptable(self, pool, state, now):
        # The new request is included in both loads. Because the limit is at least 1, every endpoint
        # of an idle pool can take a request.
        mean_load = (pool.total_load + 1) / pool.total_slots
        limit = max(1.0, self._load_bound * mean_load * state.slots)
        load = state.projected_load(pool.node_count) + 1
        return load <= limit + 1e-9 and state.straggler_factor(now) == 1.0
