"""Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas, 2008), without I/O.

Each node owns its entries; an exchange compares digests of (incarnation, heartbeat, version) and
sends what the other side lacks. Suspected nodes are left out of digests and deltas, so a record
that nobody hears of any more does not travel, and needs no tombstone.
"""

import dataclasses

from lynxlanding.membership import _delta, messages, node_table, scopes

# A longer gap between two ticks means that the process was paused.
PAUSE_S = 3.0


class Gossip:
    """State of the gossip on one node.

    Parameters
    ----------
    info : NodeInfo
        The own node.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, now):
        self._table = node_table.NodeTable(info, now)
        self._ticked_at = now
        self._changes = []

    @property
    def table(self):
        """Records of all known nodes."""
        return self._table

    @property
    def info(self):
        """Identity of the own node."""
        return self._table.own.info

    def members(self):
        """Return all known nodes as ``Member``, in order of name.

        The same tuple is returned until something changes.
        """
        return self._table.members()

    def take_changes(self):
        """Return the (node, entry) pairs that were merged since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def publish(self, key, value, scope):
        """Publish a value of the own node.

        Parameters
        ----------
        key : str
            Name of the value; it keeps its scope for the life of the process.
        value : bytes
            Encoded value; empty withdraws it.
        scope : {"place", "wide"}
            How far it is disseminated.
        """
        self._table.own.put(key, value, scope)

    def tick(self, now):
        """Advance the own heartbeat and judge the others; returns the removed records."""
        self._notice_pause(now)
        self._ticked_at = now
        self._table.own.heartbeat += 1
        self._table.suspect_silent(now)
        return self._table.remove_silent(now)

    def open(self, scope, now, mark=None):
        """Return the request of an exchange."""
        self._notice_pause(now)
        digest = {}
        for record in self._covered(scope):
            digest[record.token] = _delta.digest_entry(record, scope)
        return messages.ExchangeRequest(self.info, scope, digest, mark)

    def answer(self, request, now, mark=None):
        """Merge a request; returns the response."""
        self._notice_pause(now)
        self._learn_sender(request.sender, request.digest, now)
        scope = request.scope
        if scope == scopes.PLACE and request.sender.place != self.info.place:
            scope = scopes.WIDE
        newer, wanted, behind = {}, {}, []
        for token, theirs in request.digest.items():
            record = self._table.by_token(token)
            if record is None:
                if not self._table.is_superseded(token):
                    wanted[token] = messages.DigestEntry(0, 0, 0)
                continue
            if record is self._table.own:
                self._check_own(theirs, now)
                record = self._table.own
            elif theirs.heartbeat > record.heartbeat:
                self._table.advance(record, theirs.heartbeat, now)
            ours = _delta.digest_entry(record, scope)
            if _delta.is_ahead(theirs, ours):
                wanted[token] = ours
            if _delta.is_ahead(ours, theirs):
                behind.append((record, theirs))
            elif ours.heartbeat > theirs.heartbeat:
                newer[token] = messages.DigestEntry(ours.heartbeat, 0, 0)
        for record in self._covered(scope):
            if record.token not in request.digest:
                behind.append((record, None))
        return messages.ExchangeResponse(
            self.info, scope, newer, _delta.build(behind, scope), wanted, mark
        )

    def merge_response(self, response, now):
        """Merge a response; returns the push that completes the exchange, or None."""
        self._notice_pause(now)
        self._learn_sender(response.sender, response.newer, now)
        for token, theirs in response.newer.items():
            record = self._table.by_token(token)
            if record is None:
                continue
            if record is self._table.own:
                self._check_own(theirs, now)
                continue
            self._table.advance(record, theirs.heartbeat, now)
        self._merge(response.deltas, now)
        wanted = []
        for token, theirs in response.wanted.items():
            record = self._table.by_token(token)
            if record is not None:
                is_unknown = theirs.heartbeat == 0
                wanted.append((record, None if is_unknown else theirs))
        if not wanted:
            return None
        return messages.ExchangePush(self.info, _delta.build(wanted, response.scope))

    def merge_push(self, push, now):
        """Merge a push."""
        self._notice_pause(now)
        self._merge(push.deltas, now)

    def _notice_pause(self, now):
        """Suspect all others if the process was paused, before anything stale is sent."""
        if now - self._ticked_at > PAUSE_S:
            self._table.suspect_all(now)
            self._ticked_at = now

    def _covered(self, scope):
        """Return the live records that an exchange of a scope compares."""
        own_place = self.info.place
        covered = []
        for record in self._table.records():
            if not record.is_live:
                continue
            if scope == scopes.PLACE and record.info.place != own_place:
                continue
            covered.append(record)
        return covered

    def _learn_sender(self, info, digest, now):
        """Learn an unknown incarnation from its own message, which proves that it is alive."""
        if info.node_id == self.info.node_id:
            self._check_own_info(info, now)
            return
        known = self._table.by_token(info.token())
        if known is None:
            reported = digest.get(info.token())
            self._table.learn(info, reported.heartbeat if reported else 0, now)

    def _merge(self, deltas, now):
        for delta in deltas:
            if delta.info is not None and delta.info.node_id == self.info.node_id:
                self._check_own_info(delta.info, now)
                continue
            record = self._table.by_token(delta.token)
            if record is None:
                if delta.info is None:
                    continue
                record = self._table.learn(delta.info, delta.heartbeat, now)
                if record is None:
                    continue
            if record is self._table.own:
                continue
            self._table.advance(record, delta.heartbeat, now)
            for item in delta.entries:
                if record.merge(item):
                    self._changes.append((record.info.node_id, item))
            versions = record.versions
            versions[scopes.PLACE] = max(versions[scopes.PLACE], delta.place_version)
            versions[scopes.WIDE] = max(versions[scopes.WIDE], delta.wide_version)

    def _check_own(self, theirs, now):
        """Start a new incarnation if others know more about this one than the node itself."""
        own = self._table.own
        if (
            theirs.heartbeat > own.heartbeat
            or theirs.place_version > own.versions[scopes.PLACE]
            or theirs.wide_version > own.versions[scopes.WIDE]
        ):
            self._reincarnate(own.info.incarnation + 1, now)

    def _check_own_info(self, info, now):
        if info.incarnation > self.info.incarnation:
            self._reincarnate(info.incarnation + 1, now)

    def _reincarnate(self, incarnation, now):
        info = dataclasses.replace(self.info, incarnation=incarnation)
        self._table.replace_own(info, now)
