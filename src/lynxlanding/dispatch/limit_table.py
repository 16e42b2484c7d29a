"""Limits that endpoints state on the rate of requests from all nodes together."""

import dataclasses

from lynxlanding.dispatch import cold_engines, limit_statement, report_turns

# A limit that only a peer has heard is dropped if no peer has confirmed it for this long, because
# the peer may be gone. Peers repeat what they have heard within seconds.
PEER_STATEMENT_LIFETIME_S = 30.0
# Statements are kept for this long after the endpoint's registration is gone. A registration that
# has lapsed during an outage of the store comes back within seconds.
MISSING_RETENTION_S = 60.0
# New statements are part of every report for this long, so that a lost report does no harm.
FRESH_S = 1.0
# The end of a limit is part of every report for this long. Afterwards, it is reported again to a
# peer that still believes in the limit.
END_REPORT_S = 10.0
END_REPEAT_S = 2.0


@dataclasses.dataclass(slots=True)
class _Entry:
    started_ms: int
    own: limit_statement.LimitStatement | None = None
    own_changed_at: float = 0.0
    report_end_until: float = 0.0
    peer: limit_statement.LimitStatement | None = None
    peer_id: str = ""
    peer_heard_at: float = 0.0
    missing_since: float | None = None

    @property
    def latest(self):
        """The later one of both statements."""
        if self.own is None or (self.peer is not None and self.peer.stated_at > self.own.stated_at):
            return self.peer
        return self.own

    @property
    def limit_per_s(self):
        """Limit in force, or None."""
        latest = self.latest
        return None if latest is None else latest.limit_per_s


class LimitTable:
    """What endpoints have stated in responses to this node and its peers; performs no I/O.

    Request threads read and write it directly: each call is one step that cannot be interrupted.

    What an endpoint has stated to this node does not expire, since the limit itself keeps away the
    requests whose responses would confirm it. It ends with a response that does not state it, and
    with the incarnation of the endpoint.

    Cold engines state no limit, but bear few requests as well; the lower limit is in force.

    Parameters
    ----------
    node_id : str
        Id of this node.
    cold : ColdEngines, optional
        Engines that are cold, and their limits.
    """

    def __init__(self, node_id, cold=None):
        self._node_id = node_id
        self._cold = cold or cold_engines.ColdEngines(node_id)
        self._entries = {}
        # Start of the incarnation that the registry knows, by endpoint id.
        self._known_started_ms = {}
        self._limited = frozenset()
        self._report_turns = report_turns.ReportTurns()
        self._own_changes = 0

    @property
    def own_changes(self):
        """Number of changes that peers should hear of at once."""
        return self._own_changes

    @property
    def cold_engines(self):
        """``ColdEngines`` whose limits are in force as well."""
        return self._cold

    @property
    def limited_ids(self):
        """Ids of the endpoints with a limit, stated or because they are cold."""
        cold_ids = self._cold.cold_ids
        return self._limited | cold_ids if cold_ids else self._limited

    @property
    def stated_ids(self):
        """Ids of the endpoints that state a limit."""
        return self._limited

    def limit_per_s(self, endpoint_id):
        """Return the requests a second that the endpoint takes; None if it has no limit."""
        stated_per_s = self.stated_limit_per_s(endpoint_id)
        cold = self._cold.limit(endpoint_id)
        if cold is None:
            return stated_per_s
        return cold.rate_per_s if stated_per_s is None else min(stated_per_s, cold.rate_per_s)

    def stated_limit_per_s(self, endpoint_id):
        """Return the requests a second that the endpoint says it takes; None if it does not."""
        entry = self._entries.get(endpoint_id)
        return None if entry is None else entry.limit_per_s

    def max_sharing_nodes(self, endpoint_id):
        """Return how many nodes may share a cold engine; None if the endpoint is not cold."""
        cold = self._cold.limit(endpoint_id)
        return None if cold is None else cold.max_nodes

    def record_response(self, record, limit_per_s, sent_at, now):
        """Record the limit in a response of an endpoint, or that it states none.

        Responses on different connections may arrive in another order than the endpoint has
        written them. Unless the request was sent after the known limit had arrived, the response
        may be older, and the lower limit holds.

        Parameters
        ----------
        record : EndpointRecord
            Incarnation that has responded.
        limit_per_s : float or None
            Limit in the response; None if it states none.
        sent_at, now : float
            Times at which the request was sent and the response arrived, monotonic seconds.

        Returns
        -------
        LimitChange or None
            The change of the limit in force, if there is one.
        """
        known_started_ms = self._known_started_ms.get(record.endpoint_id, record.started_ms)
        if known_started_ms != record.started_ms:
            # The endpoint has restarted since it sent the response.
            return None
        entry = self._entries.get(record.endpoint_id)
        if entry is None or entry.started_ms != record.started_ms:
            if limit_per_s is None:
                self._drop(record.endpoint_id)
                return None
            entry = _Entry(record.started_ms)
            self._entries[record.endpoint_id] = entry
        known_limit_per_s = entry.limit_per_s
        if known_limit_per_s is not None and sent_at < entry.latest.stated_at:
            is_lower = limit_per_s is not None and limit_per_s <= known_limit_per_s
            if not is_lower:
                return None
        if limit_per_s is None and known_limit_per_s is None:
            return None
        if entry.own is None or entry.own.limit_per_s != limit_per_s:
            entry.own_changed_at = now
            self._own_changes += 1
        if limit_per_s is None:
            entry.report_end_until = now + END_REPORT_S
        stated_at = sent_at if limit_per_s is None else now
        entry.own = limit_statement.LimitStatement(record.started_ms, limit_per_s, stated_at)
        entry.peer = None
        return self._change(record.endpoint_id, known_limit_per_s, self._node_id, stated_at, now)

    def record_peer(self, record, statement, peer_id, now):
        """Record what an endpoint has stated to a peer; return a ``LimitChange`` or None.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint as this node knows it.
        statement : LimitStatement
            Statement, with its time by this node's clock.
        peer_id : str
            Node that received the response.
        now : float
            Monotonic seconds.
        """
        if statement.started_ms != record.started_ms:
            return None
        endpoint_id = record.endpoint_id
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.started_ms != record.started_ms:
            if statement.limit_per_s is None:
                self._drop(endpoint_id)
                return None
            entry = _Entry(record.started_ms)
            self._entries[endpoint_id] = entry
        known_limit_per_s = entry.limit_per_s
        own = entry.own
        has_ended = own is not None and own.limit_per_s is None
        if has_ended and statement.limit_per_s is not None and statement.stated_at <= own.stated_at:
            # The peer has not heard that the limit has ended.
            entry.report_end_until = max(entry.report_end_until, now + END_REPEAT_S)
            self._own_changes += 1
        if statement.limit_per_s is not None:
            entry.peer_heard_at = now
        latest = entry.latest
        if latest is not None and statement.stated_at <= latest.stated_at:
            return None
        entry.peer = statement
        entry.peer_id = peer_id
        return self._change(endpoint_id, known_limit_per_s, peer_id, statement.stated_at, now)

    def statements_to_report(self, now):
        """Return what this node's next report says: a list of ``EndpointStatement``.

        Only what endpoints have stated to this node itself is reported, so statements do not
        circulate among nodes.
        """
        fresh = []
        old = []
        for endpoint_id, entry in self._entries.items():
            own = entry.own
            if own is None:
                continue
            if own.limit_per_s is None:
                if now <= entry.report_end_until:
                    fresh.append(limit_statement.EndpointStatement(endpoint_id, own))
                continue
            if entry.limit_per_s is None:
                continue
            item = limit_statement.EndpointStatement(endpoint_id, own)
            if now - entry.own_changed_at <= FRESH_S:
                fresh.append(item)
            else:
                old.append(item)
        return self._report_turns.select(fresh, old)

    def keep_incarnation(self, record):
        """Discard what earlier incarnations of an endpoint have stated, also in late responses."""
        self._known_started_ms[record.endpoint_id] = record.started_ms
        entry = self._entries.get(record.endpoint_id)
        if entry is not None and entry.started_ms != record.started_ms:
            self._drop(record.endpoint_id)

    def expire(self, known_ids, now):
        """Drop what has expired; return the list of ``LimitChange``.

        Parameters
        ----------
        known_ids : container of str
            Ids of all registered endpoints.
        now : float
            Monotonic seconds.
        """
        changes = []
        for endpoint_id in list(self._known_started_ms):
            if endpoint_id not in known_ids:
                del self._known_started_ms[endpoint_id]
        for endpoint_id, entry in list(self._entries.items()):
            known_limit_per_s = entry.limit_per_s
            if endpoint_id in known_ids:
                entry.missing_since = None
            elif entry.missing_since is None:
                entry.missing_since = now
            elif now - entry.missing_since > MISSING_RETENTION_S:
                self._drop(endpoint_id)
                continue
            is_peer_limit = entry.peer is not None and entry.peer.limit_per_s is not None
            if is_peer_limit and now - entry.peer_heard_at > PEER_STATEMENT_LIFETIME_S:
                stated_at = entry.peer.stated_at
                entry.peer = None
                change = self._change(endpoint_id, known_limit_per_s, entry.peer_id, stated_at, now)
                if change is not None:
                    changes.append(change)
        return changes

    def _drop(self, endpoint_id):
        self._entries.pop(endpoint_id, None)
        self._limited = self._limited - {endpoint_id}

    def _change(self, endpoint_id, known_limit_per_s, source, stated_at, now):
        limit_per_s = self._entries[endpoint_id].limit_per_s
        if limit_per_s == known_limit_per_s:
            return None
        if limit_per_s is None:
            self._limited = self._limited - {endpoint_id}
        else:
            self._limited = self._limited | {endpoint_id}
        return limit_statement.LimitChange(
            endpoint_id, limit_per_s, known_limit_per_s, source, now - stated_at
        )
