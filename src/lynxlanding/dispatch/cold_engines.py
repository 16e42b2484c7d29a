"""Engines that are slow and fragile for some seconds, and how many requests they may get.

Addresses fleets whose nodes together send an engine that has just started more requests than it
bears, so that it crashes.
"""

import dataclasses
import math
import threading

from lynxlanding.dispatch import cold_statement, report_turns, request_allowance

# Sources of what a node believes about an engine.
REGISTRATION = "registration"
RESPONSE = "response"
FIRST_SIGHT = "first_sight"
EVACUATION = "evacuation"
PEER = "peer"

# All nodes together may send a cold engine this multiple of its rate, and this many requests, in
# any second; the platform's template may say otherwise.
DEFAULT_OVER = 1.5
DEFAULT_SLACK = 5.0
# Part of the requests beyond the rate that the nodes sharing an engine may send at once. The rest
# is for nodes that do not know of each other yet and for requests that are delayed on their way.
BURST_PART = 2 / 3
# Engines are cold for some seconds. A longer time is taken as this one; it may be stated again.
MAX_COLD_S = 600.0
# Higher bounds are as good as none, and numbers from the configuration may be of any size.
MAX_BOUND = 1e6
# Incarnations that are remembered; enough for several days of replacements.
MAX_REMEMBERED = 5000
# Repeated statements shift the end of a belief by their delays, which is no news.
NEWS_S = 0.5
# News are part of the reports for this long. All nodes that the store answers have the same news,
# so that those it does not answer hear of it even if most reports are lost.
REPORTED_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """Requests that a cold engine may get from all nodes together.

    Parameters
    ----------
    rate_per_s : float
        Requests a second.
    max_nodes : int
        Number of nodes that may share it, each of which may send its first request at once.
    """

    rate_per_s: float
    max_nodes: int


@dataclasses.dataclass(slots=True, frozen=True)
class ColdBelief:
    """Belief that an incarnation of an engine is cold.

    Parameters
    ----------
    endpoint_id : str
        The engine.
    started_ms : int
        Start of the incarnation, in Unix milliseconds of its own clock.
    until : float
        Until when it is cold, in monotonic seconds.
    source : str
        One of the constants of this module.
    node_id : str
        Node that has the belief first-hand.
    stated_at : float
        Time of the information, in monotonic seconds.
    """

    endpoint_id: str
    started_ms: int
    until: float
    source: str
    node_id: str
    stated_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ColdChange:
    """Begin, extension or end of a belief, with the belief in question."""

    belief: ColdBelief
    is_cold: bool
    noted_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class _Incarnation:
    started_ms: int
    service: str


def divide(cold_per_s, over, slack):
    """Return the ``ColdLimit`` that keeps nodes + rate within the bound in any second.

    Parameters
    ----------
    cold_per_s : float
        Requests a second that a cold engine bears.
    over, slack : float
        In any second, all nodes together may send ``cold_per_s * over + slack``.
    """
    bound = min(cold_per_s * over + slack, MAX_BOUND)
    # Few nodes may send the unused requests of ``BURST_S`` at once, in addition to the rate.
    rate_per_s = min(cold_per_s, bound / (1.0 + request_allowance.BURST_S))
    max_nodes = max(1, math.floor((bound - rate_per_s) * BURST_PART))
    return ColdLimit(rate_per_s, max_nodes)


class ColdEngines:
    """What a node believes about cold engines, by endpoint; performs no I/O.

    A statement only extends a belief, which then ends on its own: an engine that is wrongly taken
    for cold gets fewer requests for some seconds, and one that is wrongly taken for warm crashes.
    Beliefs are those about an incarnation. All times are monotonic, and the lock makes each call
    one step for the threads that use it.

    Parameters
    ----------
    node_id : str
        Id of this node.
    over, slack : float
        Settings of the bound, as in ``divide``.
    """

    def __init__(self, node_id, over=DEFAULT_OVER, slack=DEFAULT_SLACK):
        self._node_id = node_id
        self._over = over
        self._slack = slack
        self._lock = threading.Lock()
        self._services = {}
        self._limits = {}
        self._beliefs = {}
        self._cold_ids = frozenset()
        # Latest known incarnation by endpoint id, also of endpoints that are gone.
        self._incarnations = {}
        # Incarnations that others have replaced, by endpoint id and start.
        self._ended = {}
        # Start and heartbeat number of the last registration that counted, by endpoint id.
        self._read_registrations = {}
        self._has_traffic = False
        self._changes = []
        self._own_changes = 0
        self._next_reported = 0

    @property
    def cold_ids(self):
        """Ids of the cold engines whose service limits their requests."""
        return self._cold_ids

    @property
    def own_changes(self):
        """Number of beliefs that only this node can have, of which peers should hear at once."""
        return self._own_changes

    def get(self, endpoint_id):
        """Return the ``ColdBelief`` about an endpoint or None."""
        return self._beliefs.get(endpoint_id)

    def limit(self, endpoint_id):
        """Return the ``ColdLimit`` of an endpoint; None if it is not cold or has no limit."""
        if endpoint_id not in self._cold_ids:
            return None
        incarnation = self._incarnations.get(endpoint_id)
        return None if incarnation is None else self._limits.get(incarnation.service)

    def use_services(self, services):
        """Set the ``ServiceSpec`` objects by name; those without both fields have no limit."""
        with self._lock:
            self._services = services
            self._update_limits()

    def use_bounds(self, over, slack):
        """Set the settings of the bound."""
        with self._lock:
            self._over = over
            self._slack = slack
            self._update_limits()

    def note_traffic(self):
        """Record that requests of callers have arrived at some node."""
        self._has_traffic = True

    def record_incarnation(self, record, now, *, is_first_list):
        """Record an incarnation that the registry has taken as the endpoint's present one.

        Another incarnation than the known one has just started, as far as this node can tell, and
        so has an endpoint that appears while there is traffic.

        Parameters
        ----------
        record : EndpointRecord
            Registration of the incarnation.
        now : float
            Monotonic seconds.
        is_first_list : bool
            Whether it is part of the first list that this node has read, of which nothing but the
            registrations tells what started when.
        """
        endpoint_id = record.endpoint_id
        with self._lock:
            known = self._incarnations.get(endpoint_id)
            incarnation = _Incarnation(record.started_ms, record.service)
            _remember(self._incarnations, endpoint_id, incarnation)
            self._ended.pop((endpoint_id, record.started_ms), None)
            if known is not None and known.started_ms == record.started_ms:
                return
            if known is not None:
                _remember(self._ended, (endpoint_id, known.started_ms), True)
                belief = self._beliefs.get(endpoint_id)
                if belief is not None and belief.started_ms != record.started_ms:
                    del self._beliefs[endpoint_id]
                    self._cold_ids -= {endpoint_id}
            is_new = known is not None or (self._has_traffic and not is_first_list)
            if is_new and record.service in self._limits:
                until = now + self._services[record.service].cold_start_s
                self._extend(endpoint_id, record.started_ms, until, FIRST_SIGHT, now)
            if endpoint_id in self._beliefs:
                self._mark_cold(endpoint_id)

    def record_registration(self, record, now):
        """Record what the endpoint's present registration states, counted from when it was read.

        Each heartbeat counts once, so that an entry that is read again does not extend the belief.
        """
        if not record.cold_remaining_s:
            return
        with self._lock:
            heartbeat = (record.started_ms, record.heartbeat_number)
            if self._read_registrations.get(record.endpoint_id) == heartbeat:
                return
            _remember(self._read_registrations, record.endpoint_id, heartbeat)
            until = now + record.cold_remaining_s
            self._extend(record.endpoint_id, record.started_ms, until, REGISTRATION, now)

    def record_response(self, record, cold_s, now):
        """Record how long an incarnation has said in a response that it will be cold."""
        with self._lock:
            is_new = record.endpoint_id not in self._beliefs
            self._extend(record.endpoint_id, record.started_ms, now + cold_s, RESPONSE, now)
            if is_new and record.endpoint_id in self._beliefs:
                self._own_changes += 1

    def record_cold(self, endpoint_id, started_ms, cold_s, source, now):
        """Record that an incarnation is cold from now on, for a reason that this node has seen.

        Parameters
        ----------
        endpoint_id : str
            The engine.
        started_ms : int
            Start of its incarnation.
        cold_s : float or None
            For how long, in seconds; if None, for as long as its service's engines after a start.
        source : str
            One of the constants of this module, such as ``EVACUATION``.
        now : float
            Monotonic seconds.
        """
        with self._lock:
            if cold_s is None:
                incarnation = self._incarnations.get(endpoint_id)
                if incarnation is None or incarnation.service not in self._limits:
                    return
                cold_s = self._services[incarnation.service].cold_start_s
            self._extend(endpoint_id, started_ms, now + cold_s, source, now)

    def record_peer(self, statement, peer_id, now):
        """Record the ``ColdStatement`` of a peer, with times by this node's clock.

        It may be about an incarnation that this node has not read from the store yet.
        """
        with self._lock:
            self._extend(
                statement.endpoint_id,
                statement.started_ms,
                statement.until,
                PEER,
                now,
                peer_id,
                statement.stated_at,
            )

    def statements_to_report(self, now):
        """Return what this node's next report says: a list of ``ColdStatement``.

        Only first-hand news are reported, so they do not circulate among nodes. If there are more
        than a report holds, they take turns.
        """
        if not self._beliefs:
            return []
        with self._lock:
            own = []
            for belief in self._beliefs.values():
                is_news = now - belief.stated_at <= REPORTED_S and belief.until > now
                if is_news and belief.node_id == self._node_id:
                    own.append(belief)
            count = min(report_turns.MAX_REPORTED, len(own))
            first = self._next_reported
            self._next_reported += count
            statements = []
            for offset in range(count):
                belief = own[(first + offset) % len(own)]
                statements.append(
                    cold_statement.ColdStatement(
                        belief.endpoint_id, belief.started_ms, belief.until, belief.stated_at
                    )
                )
            return statements

    def expire(self, now):
        """End what is over; return the ``ColdChange`` list since the last call."""
        with self._lock:
            for endpoint_id, belief in list(self._beliefs.items()):
                if belief.until <= now:
                    del self._beliefs[endpoint_id]
                    self._changes.append(ColdChange(belief, False, now))
            self._update_cold_ids()
            changes = self._changes
            self._changes = []
            return changes

    def _extend(self, endpoint_id, started_ms, until, source, now, node_id=None, stated_at=None):
        """Let a belief begin, or last longer; it is this node's own and new by default."""
        until = min(until, now + MAX_COLD_S)
        if until <= now or (endpoint_id, started_ms) in self._ended:
            return
        if self._services and not self._has_limit(endpoint_id):
            return
        known = self._beliefs.get(endpoint_id)
        if known is not None and until <= known.until:
            return
        if known is not None and until - known.until <= NEWS_S:
            self._beliefs[endpoint_id] = dataclasses.replace(known, until=until)
            return
        belief = ColdBelief(
            endpoint_id,
            started_ms,
            until,
            source,
            node_id or self._node_id,
            now if stated_at is None else stated_at,
        )
        self._beliefs[endpoint_id] = belief
        self._changes.append(ColdChange(belief, True, now))
        self._mark_cold(endpoint_id)

    def _update_limits(self):
        limits = {}
        for name, spec in self._services.items():
            if spec.cold_start_s > 0 and spec.cold_per_s > 0:
                limits[name] = divide(spec.cold_per_s, self._over, self._slack)
        self._limits = limits
        self._update_cold_ids()

    def _has_limit(self, endpoint_id):
        incarnation = self._incarnations.get(endpoint_id)
        return incarnation is not None and incarnation.service in self._limits

    def _mark_cold(self, endpoint_id):
        if endpoint_id not in self._cold_ids and self._has_limit(endpoint_id):
            self._cold_ids |= {endpoint_id}

    def _update_cold_ids(self):
        cold_ids = [endpoint_id for endpoint_id in self._beliefs if self._has_limit(endpoint_id)]
        if len(cold_ids) != len(self._cold_ids) or not self._cold_ids.issuperset(cold_ids):
            self._cold_ids = frozenset(cold_ids)


def _remember(memory, key, value):
    """Store a value as the newest; drop the oldest if there are too many."""
    memory.pop(key, None)
    memory[key] = value
    while len(memory) > MAX_REMEMBERED:
        del memory[next(iter(memory))]
