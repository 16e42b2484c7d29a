"""Propagation of the accepted revision to one node, without I/O.

The head in the store is authoritative. A few nodes of each data centre watch it. The others learn
of a new revision from the revision reports in gossip exchanges (revision number, digest and
confirmation age) and fetch it from a peer that sent such a report.
"""

from lynxlanding.configuration import _fetch_state, propagation_decisions, propagation_status
from lynxlanding.membership import rendezvous, revision_report

# With two watchers per data centre, the failure of one causes no delay. 15 data centres use 30 of
# the 400 store calls per second.
WATCHERS_PER_PLACE = 2
# A node whose last confirmation is older reads the head itself. Watches return within 4 s, so such
# an age means that the watchers have failed or cannot reach the store.
FALLBACK_AFTER_S = 7.0
# Approximate interval of these reads per node; in an outage, 410 nodes make 68 calls per second.
FALLBACK_INTERVAL_S = 6.0
STARTING_INTERVAL_S = 2.0
# Longer than the timeouts of the store client. A read without a result no longer blocks new reads
# after this time.
READ_TIMEOUT_S = 10.0
# Time for which a starting node collects revision reports of its peers while the store is
# unavailable; also the maximum duration of a read or exchange whose result is used for the start.
START_WAIT_S = 5.0
# Gossip exchanges started immediately after a revision is adopted.
IMMEDIATE_EXCHANGES = 4


class Propagation:
    """Decides when a node reads the head, fetches revisions and adopts them.

    Parameters
    ----------
    node_id : str
        Name of the node.
    place : str
        Its data centre.
    settings : ConfigurationSettings
        Limits of the ``uncertain`` state.
    random_state : numpy.random.Generator
        Selects fetch sources and randomises read intervals.
    now : float
        Monotonic seconds.
    """

    def __init__(self, node_id, place, settings, random_state, now):
        self._node_id = node_id
        self._place = place
        self._settings = settings
        self._random = random_state
        self._started_at = now
        # A single tuple, so that another thread that reads the report gets a consistent pair.
        self._current = (0, "")
        self._confirmed_at = None
        self._confirmations = {}
        self._has_started = False
        self._head_number = None
        self._read_failed = False
        self._peer_numbers = {}
        self._has_fresh_response = False
        self._is_watching = False
        self._is_reading = False
        self._read_at = now
        self._fetches = _fetch_state.FetchState(random_state)

    @property
    def number(self):
        """Number of the current revision."""
        return self._current[0]

    @property
    def digest(self):
        """Digest of the current revision."""
        return self._current[1]

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

    def revision_report(self, now):
        """Return the revision report for gossip exchanges; None until the start is complete."""
        if not self._has_started:
            return None
        age = None if self._confirmed_at is None else now - self._confirmed_at
        return revision_report.RevisionReport(*self._current, age)

    def on_members(self, members, now):
        """Process the member list; decides whether this node watches the store.

        Parameters
        ----------
        members : iterable of Member
            Member list; this node is a candidate even if it is not listed.
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
        """Process a head that the store returned.

        Parameters
        ----------
        number : int
            Revision number; 0 if there is no head yet.
        digest : str
            Digest of the revision.
        read_at : float
            Monotonic seconds before the read was sent; the head was current at that time or later.
            Only a read that took at most ``START_WAIT_S`` counts for the start.
        now : float
            Monotonic seconds.
        """
        self._is_reading, self._read_at = False, now
        self._read_failed = False
        if now - read_at <= START_WAIT_S:
            self._head_number = max(number, self._head_number or 0)
        self._add_confirmation(number, digest, read_at)
        return self._offer_revision(number, digest, propagation_decisions.STORE, now)

    def on_head_failed(self, now):
        """Process a failed read of the head."""
        self._is_reading, self._read_at = False, now
        self._read_failed = True
        return self._check_startup(now)

    def on_revision_report(self, peer, report, sent_at, now):
        """Process the revision report of a gossip exchange.

        Parameters
        ----------
        peer : str
            Node that sent the report.
        report : RevisionReport
            Its revision and confirmation age.
        sent_at : float or None
            Monotonic seconds before this node sent the request, if the report is from a response.
            None if it is from a request; its confirmation age is then ignored, since the sender
            may have been paused.
        now : float
            Monotonic seconds.
        """
        self._peer_numbers[peer] = report.number
        if sent_at is not None and now - sent_at <= START_WAIT_S:
            self._has_fresh_response = True
        if sent_at is not None and report.age_s is not None:
            self._add_confirmation(report.number, report.digest, sent_at - report.age_s)
        return self._offer_revision(report.number, report.digest, peer, now)

    def on_fetched(self, number, digest, now):
        """Process a loaded and verified revision."""
        self._fetches.finish(digest)
        decisions = []
        if self._is_newer(number):
            self._adopt(number, digest, decisions)
        decisions.extend(self._check_startup(now))
        decisions.extend(self._fetches.next_fetch(self.number, now))
        return decisions

    def on_fetch_failed(self, digest, source, now):
        """Process a failed fetch from a source."""
        self._fetches.fail(digest, source, now)
        return self._fetches.next_fetch(self.number, now)

    def on_tick(self, now):
        """Return overdue fetches and fallback reads, and the start if its conditions are met."""
        decisions = self._check_startup(now)
        decisions.extend(self._fetches.next_fetch(self.number, now))
        if self._is_watching or (self._is_reading and now - self._read_at < READ_TIMEOUT_S):
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

    def _offer_revision(self, number, digest, source, now):
        if self._is_newer(number):
            self._fetches.offer(number, digest, source)
        decisions = self._check_startup(now)
        decisions.extend(self._fetches.next_fetch(self.number, now))
        return decisions

    def _is_newer(self, number):
        return number > self.number

    def _adopt(self, number, digest, decisions):
        self._current = (number, digest)
        self._apply_confirmations()
        decisions.append(propagation_decisions.Adopt(number, digest))
        decisions.append(propagation_decisions.StartExchanges(IMMEDIATE_EXCHANGES))

    def _add_confirmation(self, number, digest, at):
        """Record that the head had ``number`` at time ``at``."""
        # A lower number does not confirm the current revision: the report is outdated, or the store
        # lost revisions and this node must become uncertain. The same applies to another digest
        # with the same number.
        if number < self.number or (number == self.number and digest != self.digest):
            return
        self._confirmations[number] = max(at, self._confirmations.get(number, at))
        self._apply_confirmations()

    def _apply_confirmations(self):
        for number in list(self._confirmations):
            if number > self.number:
                continue
            at = self._confirmations.pop(number)
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at

    def _check_startup(self, now):
        if self._has_started:
            return []
        waited = now - self._started_at >= START_WAIT_S
        can_trust_peers = self._has_fresh_response and self._read_failed and waited
        if self._head_number is None and not can_trust_peers:
            return []
        # A revision that a peer holds was accepted, so it counts like a head that was read.
        if self.number < max(self._head_number or 0, *self._peer_numbers.values(), 0):
            return []
        self._has_started = True
        return [propagation_decisions.Started()]
