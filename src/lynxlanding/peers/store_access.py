"""Decides whether a node of a large fleet calls the store, follows a relay or waits.

Addresses the pattern in which the store is down, slow or refuses some nodes, and every node of the
fleet calls it several times a second until it answers.
"""

import dataclasses
import math
import threading

from lynxlanding.peers import feed_roles

# Smaller fleets call the store without asking here: their calls cost little, and each node that
# calls notices the recovery by itself.
MAX_SMALL_FLEET_NODES = 25
# A node that has heard nothing for this long reads from the store itself. A relay publishes
# more than once a second, so that one lost datagram does not suffice for that.
FEED_TIMEOUT_S = 1.2
# A relay publishes every 0.8 s at least while the store answers it: its watches last 0.6 s, with
# pauses of 0.2 s. After a longer silence, a node asks a second relay, which answers at once, before
# it calls the store.
RELAY_WATCH_TIMEOUT_S = 0.6
RELAY_WATCH_PAUSE_S = 0.2
BACKUP_SILENCE_S = 0.95
# After this time without an answer, a relay tells its subscribers that it waits for the store.
RELAY_WAITING_S = 0.95
# Pause after the first failure, and its growth with each further one.
FIRST_BACKOFF_S = 0.2
BACKOFF_FACTOR = 1.5
# Parts of a pause by which it is lengthened or shortened, so that nodes do not call in step.
BACKOFF_JITTER = 0.25
# Changes are to be known 1 s after the store is back, so that those who probe it for the others do
# so at intervals of half of that.
MAX_PROBE_PAUSE_S = 0.5
# The same for a node that the store refuses while it answers others: it misses nothing.
MAX_REFUSED_PAUSE_S = 4.0
# A call that has not ended by then counts as lost; calls time out earlier.
PROBE_EXPIRY_S = 6.0
# While relays only wait, some other node tries by itself about twice a second, in case that the
# store refuses all candidates for relays. Each node does so after a random time: the first of
# these, and up to the second for each node of the fleet.
MIN_WAIT_S = 1.0
WAIT_PER_NODE_S = 0.5
# After the return of the store, a relay passes on the kinds one after the other.
RETURN_GRACE_S = 0.5
# Bounds what a malformed message can add.
MAX_KINDS = 20
# Pause between two looks at what has arrived meanwhile.
POLL_S = 0.05

CALL_RELAY = "relay"
CALL_FEED_LOST = "feed_lost"
CALL_PROBE = "probe"
CALL_SMALL_FLEET = "small_fleet"
WAIT_RELAYS_PROBE = "relays_probe"
WAIT_BACKOFF = "backoff"
WAIT_RETURN = "store_returns"


@dataclasses.dataclass(slots=True, frozen=True)
class AccessDecision:
    """Whether the node calls the store for a kind of objects that it does not follow.

    Parameters
    ----------
    may_call : bool
        Whether the node calls the store now.
    reason : str
        One of the constants ``CALL_`` and ``WAIT_`` of this module.
    """

    may_call: bool
    reason: str


class StoreAccess:
    """What one node knows of the store, by its own calls and by its relays; performs no I/O.

    All threads of the node that call the store share one object. Times are in monotonic seconds.

    Parameters
    ----------
    node_id : str
        Id of this node.
    random_state : random.Random
        Spreads the calls of several nodes.
    """

    def __init__(self, node_id, random_state):
        self._node_id = node_id
        self._random_state = random_state
        self._lock = threading.Lock()
        self._is_large = False
        self._node_count = 1
        self._has_peers = False
        self._relays = ()
        # Own calls.
        self._has_been_answered = False
        self._failures = 0
        self._failed_at = -math.inf
        self._pause_from = -math.inf
        self._pause_share = 1.0
        self._probing_since = None
        self._answered_at = {}
        # What relays say.
        self._fed_at = {}
        self._last_fed_at = -math.inf
        self._relay_waits_at = {}
        self._returned_at = -math.inf
        self._waiting_since = None
        self._max_wait_s = 0.0
        self._is_substitute = False

    @property
    def is_large(self):
        """Whether the fleet is so large that not every node calls the store."""
        return self._is_large

    @property
    def is_relay(self):
        """Whether this node reads the store for others, and probes it while it is down."""
        return self._node_id in self._relays

    @property
    def is_failing(self):
        """Whether the last own call was refused or not answered."""
        return self._failures > 0

    @property
    def is_substitute(self):
        """Whether this node acts as a relay, since the store refuses all candidates for relays."""
        return self._is_substitute and not self.is_relay

    def use_fleet(self, live_ids, store_ids):
        """Derive the roles from the live nodes and those of them that the store answers."""
        with self._lock:
            self._has_peers = self._has_peers or len(live_ids) > 1
            self._node_count = len(live_ids)
            self._is_large = len(live_ids) > MAX_SMALL_FLEET_NODES
            self._relays = ()
            if self._is_large:
                self._relays = tuple(feed_roles.choose_relays(live_ids, store_ids))

    def relays_to_follow(self, now):
        """Return the relays that this node subscribes to; empty for a relay.

        The second one is only asked while one of the kinds is not heard.
        """
        with self._lock:
            if self.is_relay:
                return ()
            relays = feed_roles.rank_relays(self._node_id, self._relays)
            is_silent = any(now - fed_at >= BACKUP_SILENCE_S for fed_at in self._fed_at.values())
            return tuple(relays[: 2 if is_silent else 1])

    def record_answer(self, now, kind=None):
        """Record that the store has answered a call, if only with an error.

        ``kind`` is that of a watched kind, which this node may pass on.
        """
        with self._lock:
            self._has_been_answered = True
            self._failures = 0
            self._probing_since = None
            self._waiting_since = None
            if kind is not None:
                self._answered_at[kind] = now

    def record_failure(self, now):
        """Record that the store has refused or not answered a call of this node."""
        with self._lock:
            self._failures += 1
            self._failed_at = now
            # A pause counts from the start of a probe, since one without an answer lasts longer.
            self._pause_from = now if self._probing_since is None else self._probing_since
            self._probing_since = None
            self._is_substitute = False
            self._pause_share = self._random_state.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)

    def record_feed(self, kind, answered_at, *, is_from_substitute=False):
        """Record that the store has answered a relay at a time, as the relay says."""
        with self._lock:
            if not is_from_substitute:
                self._is_substitute = False
            if answered_at - self._last_fed_at >= FEED_TIMEOUT_S:
                self._returned_at = answered_at
                if self._failures > 1:
                    # Pauses that have grown while the store was down would delay the next call.
                    self._failures = 1
                    self._pause_from = answered_at
            self._fed_at[kind] = max(answered_at, self._fed_at.get(kind, -math.inf))
            self._last_fed_at = max(answered_at, self._last_fed_at)

    def record_waiting_relay(self, kinds, now):
        """Record that a relay says for which kinds it waits for the store."""
        with self._lock:
            for kind in kinds:
                if kind in self._relay_waits_at or len(self._relay_waits_at) < MAX_KINDS:
                    self._relay_waits_at[kind] = now

    def waiting_kinds(self, now):
        """Return the kinds that this node reads for others and has no recent answer for."""
        with self._lock:
            waiting = []
            for kind, answered_at in self._answered_at.items():
                known_at = max(answered_at, self._fed_at.get(kind, -math.inf))
                is_failing = self._failures > 0 and known_at <= self._failed_at
                if is_failing or now - known_at >= RELAY_WAITING_S:
                    waiting.append(kind)
            return waiting

    def decide(self, kind, now):
        """Return an ``AccessDecision`` for a kind that the node cannot follow through a relay.

        A caller that may call reports the result with ``record_answer`` or ``record_failure``.
        """
        with self._lock:
            # From now on its absence from the feed is noticed.
            self._fed_at.setdefault(kind, -math.inf)
            self._answered_at.setdefault(kind, now)
            return self._decide(kind, now)

    def is_believed_down(self, now):
        """Return whether a call would only find that the store does not answer."""
        with self._lock:
            if not self._is_large:
                return False
            if self.is_relay:
                return self._failures > 0
            return any(self._hears_waiting_relay(kind, now) for kind in self._relay_waits_at)

    def _decide(self, kind, now):
        if not self._is_large and (self._has_peers or self._has_been_answered):
            return AccessDecision(True, CALL_SMALL_FLEET)
        reads_for_others = self.is_relay or self._is_substitute
        if not reads_for_others and self._hears_waiting_relay(kind, now):
            return self._wait_for_relays(now)
        self._waiting_since = None
        is_returning = now - self._returned_at < RETURN_GRACE_S
        if not reads_for_others and is_returning and self._fed_at[kind] < self._returned_at:
            return AccessDecision(False, WAIT_RETURN)
        if self._failures > 0:
            return self._probe(now)
        return AccessDecision(True, CALL_RELAY if self.is_relay else CALL_FEED_LOST)

    def _wait_for_relays(self, now):
        if self._waiting_since is None:
            self._waiting_since = now
            spread_s = WAIT_PER_NODE_S * self._node_count
            self._max_wait_s = MIN_WAIT_S + self._random_state.uniform(0.0, spread_s)
        if now - self._waiting_since >= self._max_wait_s:
            self._waiting_since = None
            self._is_substitute = True
            self._probing_since = now
            return AccessDecision(True, CALL_PROBE)
        return AccessDecision(False, WAIT_RELAYS_PROBE)

    def _probe(self, now):
        """Let one thread at a time call the store, with growing pauses."""
        is_probing = self._probing_since is not None and now - self._probing_since < PROBE_EXPIRY_S
        if is_probing or now < self._pause_from + self._pause_s(now):
            return AccessDecision(False, WAIT_BACKOFF)
        self._probing_since = now
        return AccessDecision(True, CALL_PROBE)

    def _pause_s(self, now):
        is_refused = not self.is_relay and now - self._last_fed_at < FEED_TIMEOUT_S
        longest_s = MAX_REFUSED_PAUSE_S if is_refused else MAX_PROBE_PAUSE_S
        # The exponent is bounded, since the float overflows after some 1,700 failures.
        growth = BACKOFF_FACTOR ** min(self._failures - 1, 20)
        return min(FIRST_BACKOFF_S * growth, longest_s) * self._pause_share

    def _hears_waiting_relay(self, kind, now):
        """Return whether the latest that a relay has said of a kind is that it waits."""
        waits_at = self._relay_waits_at.get(kind, -math.inf)
        return now - waits_at < FEED_TIMEOUT_S and waits_at > self._fed_at.get(kind, -math.inf)
