"""Records of all known nodes, and failure detection by heartbeat."""

from lynxlanding.membership import member, node_record

# Within a data centre, 3 s are six exchange intervals. Across data centres, a heartbeat reaches all
# of 410 nodes in about log2(410) = 9 rounds of 1 s.
LOCAL_SUSPECT_TIMEOUT_S = 3.0
REMOTE_SUSPECT_TIMEOUT_S = 15.0
REMOVAL_TIMEOUT_S = 60.0
MAX_SUPERSEDED_TOKENS = 1000


class NodeTable:
    """Records of all known nodes, indexed by node id and by token.

    The table never changes the local node's heartbeat; ``Gossip.tick`` increments it.

    Parameters
    ----------
    info : NodeInfo
        The local node.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, now):
        self._local = node_record.NodeRecord(info, 1, now)
        self._by_node = {info.node_id: self._local}
        self._by_token = {self._local.token: self._local}
        self._superseded = {}
        self._members = None

    @property
    def local(self):
        """Record of the local node."""
        return self._local

    def records(self):
        """Return all records, including that of the local node."""
        return self._by_node.values()

    def by_token(self, token):
        """Return the record of an incarnation, or None."""
        return self._by_token.get(token)

    def by_node(self, node_id):
        """Return the record of a node, or None."""
        return self._by_node.get(node_id)

    def is_superseded(self, token):
        """Return whether the token belongs to an earlier incarnation of a known node."""
        return token in self._superseded

    def register(self, info, heartbeat, now):
        """Return the record of an incarnation, added if it is new; None if it is superseded."""
        existing = self._by_node.get(info.node_id)
        if existing is not None:
            if existing.info.incarnation == info.incarnation:
                return existing
            if existing.info.incarnation > info.incarnation:
                self._mark_superseded(info.token())
                return None
            self._remove_record(existing)
            self._mark_superseded(existing.token)
        record = node_record.NodeRecord(info, heartbeat, now)
        self._by_node[info.node_id] = record
        self._by_token[record.token] = record
        self._members = None
        return record

    def replace_local(self, info, now):
        """Replace the local record by a new incarnation with the same entries."""
        previous = self._local
        self._remove_record(previous)
        self._mark_superseded(previous.token)
        self._local = node_record.NodeRecord(info, 1, now)
        for published_entry in previous.entries.values():
            self._local.publish(published_entry.key, published_entry.value, published_entry.scope)
        self._by_node[info.node_id] = self._local
        self._by_token[self._local.token] = self._local
        self._members = None

    def record_heartbeat(self, record, heartbeat, now):
        """Record a received heartbeat; return whether it is newer."""
        if record is self._local or heartbeat <= record.heartbeat:
            return False
        record.heartbeat = heartbeat
        record.heartbeat_received_at = now
        if not record.is_live:
            record.is_live = True
            self._members = None
        return True

    def members(self):
        """Return all known nodes as ``Member``, ordered by node id."""
        if self._members is None:
            members = []
            for record in self._by_node.values():
                info = record.info
                state = member.LIVE if record.is_live else member.SUSPECTED
                members.append(
                    member.Member(
                        info.node_id, info.incarnation, info.address, info.place, info.region, state
                    )
                )
            members.sort(key=lambda node: node.node_id)
            self._members = tuple(members)
        return self._members

    def suspect_silent(self, now):
        """Mark nodes as suspected whose heartbeat has not advanced within the limit."""
        local_place = self._local.info.place
        for record in self._by_node.values():
            limit = (
                LOCAL_SUSPECT_TIMEOUT_S
                if record.info.place == local_place
                else REMOTE_SUSPECT_TIMEOUT_S
            )
            if (
                record.is_live
                and now - record.heartbeat_received_at > limit
                and record is not self._local
            ):
                record.is_live = False
                self._members = None

    def suspect_all(self, now):
        """Mark every other node as suspected until its heartbeat advances.

        Called after the process was paused, since its records are stale then.
        """
        for record in self._by_node.values():
            if record is not self._local:
                record.is_live = False
                record.heartbeat_received_at = now - REMOTE_SUSPECT_TIMEOUT_S
        self._members = None

    def remove_silent(self, now):
        """Remove nodes without a newer heartbeat for ``REMOVAL_TIMEOUT_S``; return the records."""
        removed = []
        for record in list(self._by_node.values()):
            if record is self._local or now - record.heartbeat_received_at <= REMOVAL_TIMEOUT_S:
                continue
            self._remove_record(record)
            removed.append(record)
        return removed

    def _remove_record(self, record):
        self._members = None
        del self._by_node[record.info.node_id]
        del self._by_token[record.token]

    def _mark_superseded(self, token):
        self._superseded[token] = None
        if len(self._superseded) > MAX_SUPERSEDED_TOKENS:
            del self._superseded[next(iter(self._superseded))]
