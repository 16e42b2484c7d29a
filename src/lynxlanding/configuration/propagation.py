"""Propagation of the accepted revision to one node, without I/O.

The store's head decides. A few nodes of each data centre watch it; the others hear of a revision
in the marks of gossip exchanges and fetch it from the peer that told them.
"""

from lynxlanding.configuration import _fetch_state, propagation_decisions, propagation_status
from lynxlanding.membership import mark, rendezvous

# Two watchers per data centre: one may fail without delay, and 15 data centres hold 30 of the
# 400 store calls per second.
WATCHERS_PER_PLACE = 2
# A node whose confirmation is older reads the head itself. Watches return within 4 s, so an older
# age means that the watchers are cut from the store or gone.
FALLBACK_AFTER_S = 7.0
# During an outage each node reads this often at most: 410 nodes make 68 calls per second.
FALLBACK_INTERVAL_S = 6.0
STARTING_INTERVAL_S = 2.0
# Beyond the timeouts of the store client; a read that was never reported does not stop later ones.
READ_LIMIT_S = 10.0
# Time in which a starting node collects the revisions of its peers while the store is unavailable.
START_WAIT_S = 5.0
PUSHED_PEERS = 4


class Propagation:
    """Decides which revision a node holds and where it learns of newer ones.

    Parameters
    ----------
    node_id : str
        Name of the node.
    place : str
        Its data centre.
    settings : ConfigurationSettings
        Limits of the ``uncertain`` state.
    random_state : numpy.random.Generator
        Chooses sources and spreads reads.
    now : float
        Monotonic seconds.
    """

    def __init__(self, node_id, place, settings, random_state, now):
        self._node_id = node_id
        self._place = place
        self._settings = settings
        self._random = random_state
        self._started_at = now
        # One tuple, so that the thread that reads the mark never sees half of a revision.
        self._held = (0, "")
        self._confirmed_at = None
        self._evidence = {}
        self._has_started = False
        self._head_number = None
        self._read_failed = False
        self._heard = {}
        self._has_fresh_peer = False
        self._is_watching = False
        self._is_reading = False
        self._read_at = now
        self._fetches = _fetch_state.FetchState(random_state)

    @property
    def number(self):
        """Revision that the node holds."""
        return self._held[0]

    @property
    def digest(self):
        """Digest of the revision that the node holds."""
        return self._held[1]

    def status(self, now):
        """Return the state of the configuration at ``now``."""
        age = None if self._confirmed_at is None else now - self._confirmed_at
        since_confirmed = now - self._started_at if age is None else age
        if not self._has_started:
            state = propagation_status.STARTING
        elif since_confirmed > self._settings.uncertain_limit_s:
            state = propagation_status.EXPIRED
        elif age is None or age > self._settings.uncertain_after_s:
            state = propagation_status.UNCERTAIN
        else:
            state = propagation_status.CERTAIN
        target = max(self.number, self._fetches.target_number)
        return propagation_status.PropagationStatus(
            state, self.number, self.digest, target, age, self._is_watching
        )

    def mark(self, now):
        """Return the mark that exchanges carry; None before the start is complete."""
        if not self._has_started:
            return None
        age = None if self._confirmed_at is None else now - self._confirmed_at
        return mark.Mark(*self._held, age)

    def on_members(self, members, now):
        """Decide whether this node watches the store.

        Parameters
        ----------
        members : iterable of Member
            Live nodes; the own node always takes part.
        now : float
            Monotonic seconds.
        """
        del now
        candidates = {self._node_id}
        for item in members:
            if item.place == self._place and item.state == "live":
                candidates.add(item.node_id)
        chosen = rendezvous.choose("config-watch", candidates, WATCHERS_PER_PLACE)
        is_watching = self._node_id in chosen
        if is_watching == self._is_watching:
            return []
        self._is_watching = is_watching
        return [propagation_decisions.SetWatching(is_watching)]

    def on_head(self, number, digest, read_at, now):
        """Take over a head that the store returned.

        Parameters
        ----------
        number : int
            Revision number; 0 if there is no head yet.
        digest : str
            Digest of the revision.
        read_at : float
            Monotonic seconds before the read was sent: the head was current at that time or later.
            A start needs a read that took at most ``START_WAIT_S``.
        now : float
            Monotonic seconds.
        """
        self._is_reading, self._read_at = False, now
        self._read_failed = False
        if now - read_at <= START_WAIT_S:
            self._head_number = max(number, self._head_number or 0)
        self._add_evidence(number, digest, read_at)
        return self._learn(number, digest, propagation_decisions.STORE, now)

    def on_head_failed(self, now):
        """Note that the store could not be read."""
        self._is_reading, self._read_at = False, now
        self._read_failed = True
        return self._finish_start(now)

    def on_mark(self, peer, peer_mark, sent_at, now):
        """Take over the mark of an exchange.

        Parameters
        ----------
        peer : str
            Node that holds the revision.
        peer_mark : Mark
            Its revision and confirmation age.
        sent_at : float or None
            Monotonic seconds before this node sent the request that the mark answers. None for
            the mark of a request: its age is not used, since the sender may have been paused.
        now : float
            Monotonic seconds.
        """
        self._heard[peer] = peer_mark.number
        if sent_at is not None and now - sent_at <= START_WAIT_S:
            self._has_fresh_peer = True
        if sent_at is not None and peer_mark.age_s is not None:
            self._add_evidence(peer_mark.number, peer_mark.digest, sent_at - peer_mark.age_s)
        return self._learn(peer_mark.number, peer_mark.digest, peer, now)

    def on_fetched(self, number, digest, now):
        """Take over a revision that was loaded and verified."""
        self._fetches.finish(digest)
        decisions = []
        if self._is_newer(number):
            self._adopt(number, digest, decisions)
        decisions.extend(self._finish_start(now))
        decisions.extend(self._fetches.next_fetch(self.number, now))
        return decisions

    def on_fetch_failed(self, digest, source, now):
        """Note that a source could not provide a revision."""
        self._fetches.fail(digest, source, now)
        return self._fetches.next_fetch(self.number, now)

    def on_tick(self, now):
        """Decide on overdue fetches, fallback reads and the start."""
        decisions = self._finish_start(now)
        decisions.extend(self._fetches.next_fetch(self.number, now))
        if self._is_watching or (self._is_reading and now - self._read_at < READ_LIMIT_S):
            return decisions
        age = now - (self._started_at if self._confirmed_at is None else self._confirmed_at)
        interval = FALLBACK_INTERVAL_S if self._has_started else STARTING_INTERVAL_S
        is_due = now - self._read_at >= interval * (0.75 + 0.5 * self._random.random())
        is_unread = self._head_number is None and not self._read_failed
        is_old = age > FALLBACK_AFTER_S or not self._has_started
        if is_unread or (is_old and is_due):
            self._is_reading, self._read_at = True, now
            decisions.append(propagation_decisions.ReadHead())
        return decisions

    def _learn(self, number, digest, source, now):
        if self._is_newer(number):
            self._fetches.offer(number, digest, source)
        decisions = self._finish_start(now)
        decisions.extend(self._fetches.next_fetch(self.number, now))
        return decisions

    def _is_newer(self, number):
        return number > self.number

    def _adopt(self, number, digest, decisions):
        self._held = (number, digest)
        self._settle_evidence()
        decisions.append(propagation_decisions.Adopt(number, digest))
        decisions.append(propagation_decisions.Push(PUSHED_PEERS))

    def _add_evidence(self, number, digest, at):
        """Note that the head was ``number`` at time ``at``."""
        # A lower revision confirms nothing: it is old news, or the store lost revisions, and then
        # the node must become uncertain. The same holds for another revision with this number.
        if number < self.number or (number == self.number and digest != self.digest):
            return
        self._evidence[number] = max(at, self._evidence.get(number, at))
        self._settle_evidence()

    def _settle_evidence(self):
        for number in list(self._evidence):
            if number > self.number:
                continue
            at = self._evidence.pop(number)
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at

    def _finish_start(self, now):
        if self._has_started:
            return []
        waited = now - self._started_at >= START_WAIT_S
        can_trust_peers = self._has_fresh_peer and self._read_failed and waited
        if self._head_number is None and not can_trust_peers:
            return []
        # Every revision that a peer holds was accepted, so it counts beside a head that was read.
        if self.number < max(self._head_number or 0, *self._heard.values(), 0):
            return []
        self._has_started = True
        return [propagation_decisions.Started()]
