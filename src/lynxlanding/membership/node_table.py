"""Records of all known nodes, and failure detection by heartbeat."""

from lynxlanding.membership import member, node_record

# In the data centre, 3 s are six exchange intervals. Across data centres a heartbeat of one of 410
# nodes takes about log2(410) = 9 rounds of 1 s to reach all others.
SUSPECT_PLACE_S = 3.0
SUSPECT_WIDE_S = 15.0
REMOVE_S = 60.0
MAX_SUPERSEDED = 1000


class NodeTable:
    """Records by node and by token, without the own node's heartbeat.

    Parameters
    ----------
    info : NodeInfo
        The own node.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, now):
        self._own = node_record.NodeRecord(info, 1, now)
        self._by_node = {info.node_id: self._own}
        self._by_token = {self._own.token: self._own}
        self._superseded = {}
        self._members = None

    @property
    def own(self):
        """Record of the own node."""
        return self._own

    def records(self):
        """Return all records, including the own one."""
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

    def learn(self, info, heartbeat, now):
        """Return the record of an incarnation, created if it is new; None if it is superseded."""
        known = self._by_node.get(info.node_id)
        if known is not None:
            if known.info.incarnation == info.incarnation:
                return known
            if known.info.incarnation > info.incarnation:
                self._supersede(info.token())
                return None
            self._drop(known)
            self._supersede(known.token)
        record = node_record.NodeRecord(info, heartbeat, now)
        self._by_node[info.node_id] = record
        self._by_token[record.token] = record
        self._members = None
        return record

    def replace_own(self, info, now):
        """Start a new incarnation of the own node that keeps its entries."""
        earlier = self._own
        self._drop(earlier)
        self._supersede(earlier.token)
        self._own = node_record.NodeRecord(info, 1, now)
        for item in earlier.entries.values():
            self._own.put(item.key, item.value, item.scope)
        self._by_node[info.node_id] = self._own
        self._by_token[self._own.token] = self._own
        self._members = None

    def advance(self, record, heartbeat, now):
        """Take over a heartbeat; returns whether it is newer."""
        if record is self._own or heartbeat <= record.heartbeat:
            return False
        record.heartbeat = heartbeat
        record.heard_at = now
        if not record.is_live:
            record.is_live = True
            self._members = None
        return True

    def members(self):
        """Return all known nodes as ``Member``, in order of name."""
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
            members.sort(key=lambda item: item.node_id)
            self._members = tuple(members)
        return self._members

    def suspect_silent(self, now):
        """Suspect the nodes whose heartbeat has not advanced for too long."""
        own_place = self._own.info.place
        for record in self._by_node.values():
            limit = SUSPECT_PLACE_S if record.info.place == own_place else SUSPECT_WIDE_S
            if record.is_live and now - record.heard_at > limit and record is not self._own:
                record.is_live = False
                self._members = None

    def suspect_all(self, now):
        """Suspect every other node until its heartbeat advances.

        After a pause of the own process, everything it knows is stale.
        """
        for record in self._by_node.values():
            if record is not self._own:
                record.is_live = False
                record.heard_at = now - SUSPECT_WIDE_S
        self._members = None

    def remove_silent(self, now):
        """Remove the nodes that were not heard of; returns their records."""
        removed = []
        for record in list(self._by_node.values()):
            if record is self._own or now - record.heard_at <= REMOVE_S:
                continue
            self._drop(record)
            removed.append(record)
        return removed

    def _drop(self, record):
        self._members = None
        del self._by_node[record.info.node_id]
        del self._by_token[record.token]

    def _supersede(self, token):
        self._superseded[token] = None
        if len(self._superseded) > MAX_SUPERSEDED:
            del self._superseded[next(iter(self._superseded))]
