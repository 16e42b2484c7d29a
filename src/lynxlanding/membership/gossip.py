"""Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas, 2008), without I/O.

Each node owns its entries. An exchange compares digests of (incarnation, heartbeat, version) and
sends the entries that the other side is missing. Digests and deltas omit suspected nodes, so the
record of a failed node stops spreading and no tombstone is needed.
"""

import dataclasses

from lynxlanding.membership import _delta, messages, node_table, scopes

# A longer gap between two ticks means that the process was paused.
PAUSE_THRESHOLD_S = 3.0


class Gossip:
    """State of the gossip protocol on one node.

    Parameters
    ----------
    info : NodeInfo
        The local node.
    now : float
        Monotonic seconds.
    """

    def __init__(self, info, now):
        self._table = node_table.NodeTable(info, now)
        self._ticked_at = now
        self._merged_entries = []

    @property
    def table(self):
        """Records of all known nodes."""
        return self._table

    @property
    def info(self):
        """Identity of the local node."""
        return self._table.local.info

    def members(self):
        """Return all known nodes as ``Member``, ordered by node id.

        Returns the same tuple object until a member changes.
        """
        return self._table.members()

    def take_merged_entries(self):
        """Return the (node id, entry) pairs merged since the last call."""
        merged_entries, self._merged_entries = self._merged_entries, []
        return merged_entries

    def publish(self, key, value, scope):
        """Publish a value of the local node.

        Parameters
        ----------
        key : str
            Name of the value. Its scope must not change while the process runs.
        value : bytes
            Encoded value; an empty one deletes it.
        scope : {"place", "wide"}
            Whether the value reaches the nodes of the local data centre or all nodes.
        """
        self._table.local.publish(key, value, scope)

    def tick(self, now):
        """Increment the heartbeat, detect failed nodes and return the records removed."""
        self._detect_pause(now)
        self._ticked_at = now
        self._table.local.heartbeat += 1
        self._table.suspect_silent(now)
        return self._table.remove_silent(now)

    def create_request(self, scope, now, revision_report=None):
        """Return the request that starts an exchange."""
        self._detect_pause(now)
        digest = {}
        for record in self._records_in_scope(scope):
            digest[record.token] = _delta.digest_entry(record, scope)
        return messages.ExchangeRequest(self.info, scope, digest, revision_report)

    def handle_request(self, request, now, revision_report=None):
        """Merge a request and return the response."""
        self._detect_pause(now)
        self._register_sender(request.sender, request.digest, now)
        scope = request.scope
        if scope == scopes.PLACE and request.sender.place != self.info.place:
            scope = scopes.WIDE
        newer, wanted, outdated = {}, {}, []
        for token, remote in request.digest.items():
            record = self._table.by_token(token)
            if record is None:
                if not self._table.is_superseded(token):
                    wanted[token] = messages.DigestEntry(0, 0, 0)
                continue
            if record is self._table.local:
                self._check_local_digest(remote, now)
                record = self._table.local
            elif remote.heartbeat > record.heartbeat:
                self._table.record_heartbeat(record, remote.heartbeat, now)
            local = _delta.digest_entry(record, scope)
            if _delta.has_newer_version(remote, local):
                wanted[token] = local
            if _delta.has_newer_version(local, remote):
                outdated.append((record, remote))
            elif local.heartbeat > remote.heartbeat:
                newer[token] = messages.DigestEntry(local.heartbeat, 0, 0)
        for record in self._records_in_scope(scope):
            if record.token not in request.digest:
                outdated.append((record, None))
        return messages.ExchangeResponse(
            self.info, scope, newer, _delta.build_deltas(outdated, scope), wanted, revision_report
        )

    def merge_response(self, response, now):
        """Merge a response; return the push that completes the exchange, or None."""
        self._detect_pause(now)
        self._register_sender(response.sender, response.newer, now)
        for token, remote in response.newer.items():
            record = self._table.by_token(token)
            if record is None:
                continue
            if record is self._table.local:
                self._check_local_digest(remote, now)
                continue
            self._table.record_heartbeat(record, remote.heartbeat, now)
        self._merge(response.deltas, now)
        wanted = []
        for token, remote in response.wanted.items():
            record = self._table.by_token(token)
            if record is not None:
                is_unknown_to_peer = remote.heartbeat == 0
                wanted.append((record, None if is_unknown_to_peer else remote))
        if not wanted:
            return None
        return messages.ExchangePush(self.info, _delta.build_deltas(wanted, response.scope))

    def merge_push(self, push, now):
        """Merge a push."""
        self._detect_pause(now)
        self._merge(push.deltas, now)

    def _detect_pause(self, now):
        """Suspect all other nodes after a pause, so that no stale records are sent."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._table.suspect_all(now)
            self._ticked_at = now

    def _records_in_scope(self, scope):
        """Return the live records that an exchange of the given scope compares."""
        local_place = self.info.place
        records = []
        for record in self._table.records():
            if not record.is_live:
                continue
            if scope == scopes.PLACE and record.info.place != local_place:
                continue
            records.append(record)
        return records

    def _register_sender(self, info, digest, now):
        """Register the sender's incarnation if unknown; its message proves that it is alive."""
        if info.node_id == self.info.node_id:
            self._check_local_info(info, now)
            return
        known = self._table.by_token(info.token())
        if known is None:
            reported = digest.get(info.token())
            self._table.register(info, reported.heartbeat if reported else 0, now)

    def _merge(self, deltas, now):
        for delta in deltas:
            if delta.info is not None and delta.info.node_id == self.info.node_id:
                self._check_local_info(delta.info, now)
                continue
            record = self._table.by_token(delta.token)
            if record is None:
                if delta.info is None:
                    continue
                record = self._table.register(delta.info, delta.heartbeat, now)
                if record is None:
                    continue
            if record is self._table.local:
                continue
            self._table.record_heartbeat(record, delta.heartbeat, now)
            for published_entry in delta.entries:
                if record.merge(published_entry):
                    self._merged_entries.append((record.info.node_id, published_entry))
            versions = record.versions
            versions[scopes.PLACE] = max(versions[scopes.PLACE], delta.place_version)
            versions[scopes.WIDE] = max(versions[scopes.WIDE], delta.wide_version)

    def _check_local_digest(self, remote, now):
        """Start a new incarnation if a peer knows newer state of this one than the node itself.

        This happens if an earlier process used the same incarnation, as after a clock step.
        """
        local_record = self._table.local
        if (
            remote.heartbeat > local_record.heartbeat
            or remote.place_version > local_record.versions[scopes.PLACE]
            or remote.wide_version > local_record.versions[scopes.WIDE]
        ):
            self._start_incarnation(local_record.info.incarnation + 1, now)

    def _check_local_info(self, info, now):
        if info.incarnation > self.info.incarnation:
            self._start_incarnation(info.incarnation + 1, now)

    def _start_incarnation(self, incarnation, now):
        info = dataclasses.replace(self.info, incarnation=incarnation)
        self._table.replace_local(info, now)
