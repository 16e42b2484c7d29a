"""In-memory registry of the endpoints, updated from the platform's store."""

import dataclasses

from lynxlanding.fleet import endpoint_change, incarnation_memory, lapse, possible_restart

# Live endpoints register again within about two seconds after an outage of the store.
LAPSE_GRACE_S = 2.0
# A lapsed endpoint gets requests for this long without an answer to a health check. It may have
# left unannounced right after the outage, which may have been one of this node's connection alone.
LAPSED_USE_S = 1.0
# The store removes an entry after three heartbeat intervals without a heartbeat. One that is still
# there after four receives heartbeats.
CONFIRMATION_INTERVALS = 4.0
# A live incarnation overwrites a late write of another one with its next heartbeat; the second
# interval allows for a lost heartbeat.
REPLACEMENT_INTERVALS = 2.0
# Endpoints number their heartbeats from here. The store keeps the number of the heartbeat that last
# changed the entry, so a new entry with a higher one was there before, or could not be written.
FIRST_HEARTBEAT = 1


class EndpointRegistry:
    """Endpoints that requests and orders may be sent to.

    Records of one incarnation are ordered by the number of the heartbeat, which late writes do not
    change. An endpoint that has announced its shutdown, in the store or in a response, stays
    leaving until it restarts.

    Two kinds of entries may be late writes of an incarnation that is gone, and nothing in the store
    tells that. Such an endpoint is unconfirmed and gets no requests:

    - An entry that comes back after its removal, perhaps because the endpoint could not reach the
      store for a while or has restarted. It is confirmed when the endpoint answers a health check,
      or when the store has kept the entry for longer than it keeps one without heartbeats and no
      health check has failed in that time: several late writes keep an entry for longer. Where the
      removal was before the registry's first list, the number of the heartbeat shows it.
    - An entry of another incarnation than the known one. Start times are those of the endpoint's
      clock, which may have been set back before a restart. An incarnation with a later one replaces
      the known one at once, an earlier one only if the known incarnation does not write again. The
      one that stays is confirmed like an endpoint that came back.

    Parameters
    ----------
    heartbeat_interval_s : float
        Interval at which endpoints write their registrations, in seconds.
    """

    def __init__(self, heartbeat_interval_s):
        self._confirmation_s = CONFIRMATION_INTERVALS * heartbeat_interval_s
        self._replacement_s = REPLACEMENT_INTERVALS * heartbeat_interval_s
        self._records = {}
        self._lapsed = {}
        # Times at which unconfirmed endpoints came back, by endpoint id.
        self._returned_at = {}
        self._possible_restarts = {}
        self._memory = incarnation_memory.IncarnationMemory()
        self._grace_period_end = None
        self._is_store_available = False
        self._is_next_list_older = False
        self._read_at = None
        self._version = None

    @property
    def records(self):
        """Records by endpoint id, including leaving endpoints; callers must not modify it."""
        return self._records

    @property
    def is_store_available(self):
        """Whether the last call to the store succeeded."""
        return self._is_store_available

    @property
    def read_at(self):
        """When the store last confirmed the registry, in monotonic seconds; None before that."""
        return self._read_at

    @property
    def version(self):
        """Version of the store up to which the registry is complete; None before the first list."""
        return self._version

    def get(self, endpoint_id):
        """Return the record of an endpoint or None."""
        return self._records.get(endpoint_id)

    def is_usable(self, endpoint_id):
        """Return whether new requests may be sent to the endpoint."""
        record = self._records.get(endpoint_id)
        return record is not None and record.accepts_requests

    def records_to_check(self):
        """Return the records of endpoints whose requests depend on a health check."""
        endpoint_ids = list(self._returned_at)
        for endpoint_id, lapsed in self._lapsed.items():
            if not lapsed.is_confirmed:
                endpoint_ids.append(endpoint_id)
        records = []
        for endpoint_id in endpoint_ids:
            record = self._records[endpoint_id]
            if endpoint_id in self._possible_restarts or record.is_leaving:
                continue
            if record.is_engine and not record.is_serving_head:
                continue
            records.append(record)
        return records

    def on_store_unavailable(self):
        """Mark the store as unavailable; the registry keeps its records."""
        self._is_store_available = False

    def on_store_rolled_back(self):
        """Record that the store has come back from an older copy, which the next list shows.

        Endpoints write their registrations again. Until then, the registry keeps what it knows.
        """
        self._is_next_list_older = True

    def on_store_available(self, now, was_outage):
        """Mark the store as available.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        was_outage : bool
            Whether an outage has just ended. Registrations that are missing are then kept for a
            grace period.
        """
        self._is_store_available = True
        if was_outage:
            self._grace_period_end = now + LAPSE_GRACE_S

    def apply_list(self, records, now, version=None):
        """Replace the contents of the registry by a complete list; return the changes.

        The first list is all that is known, so that its endpoints are not unconfirmed.

        Parameters
        ----------
        records : list of EndpointRecord
            All valid entries of the store.
        now : float
            Time at which the list was read, in monotonic seconds.
        version : StoreVersion, optional
            Version of the store that the list shows.
        """
        is_first_list = self._read_at is None
        self._read_at = now
        self._version = version
        changes = []
        listed_ids = set()
        is_older_list = self._is_next_list_older
        self._is_next_list_older = False
        if is_older_list:
            self._grace_period_end = now + LAPSE_GRACE_S
        for record in records:
            listed_ids.add(record.endpoint_id)
            known = self._records.get(record.endpoint_id)
            if is_older_list and known is not None and not known.is_older_than(record):
                changes.append(
                    endpoint_change.EndpointChange(endpoint_change.IGNORED, record, known)
                )
                continue
            changes.extend(self._put(record, now, is_first_list=is_first_list))
        for endpoint_id in list(self._records):
            if endpoint_id in listed_ids:
                continue
            changes.extend(self._remove(endpoint_id, now))
        return changes

    def apply_changes(self, records, removed_ids, now, version=None):
        """Apply the events of a watch up to a version of the store; return the changes."""
        self._read_at = now
        self._version = version
        changes = []
        for endpoint_id in removed_ids:
            changes.extend(self._remove(endpoint_id, now))
        for record in records:
            changes.extend(self._put(record, now))
        return changes

    def confirm(self, endpoint_id, started_ms):
        """Record that an incarnation serves and is not leaving; return the changes."""
        record = self._records.get(endpoint_id)
        if record is None or record.started_ms != started_ms:
            return []
        if endpoint_id in self._possible_restarts:
            return []
        lapsed = self._lapsed.get(endpoint_id)
        if lapsed is not None:
            lapsed.is_confirmed = True
            lapsed.has_failed_check = False
        self._returned_at.pop(endpoint_id, None)
        return self._set(record, record)

    def record_failed_check(self, endpoint_id, started_ms, now):
        """Record that a health check was not answered, or not as by one that serves.

        The time that confirms the endpoint begins again. If its entry has lapsed, it does not prove
        that the endpoint lives when it returns.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that was checked.
        started_ms : int
            Start time of the incarnation that was checked.
        now : float
            Time at which the check ended, in monotonic seconds.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.started_ms != started_ms:
            return
        if endpoint_id in self._returned_at:
            self._returned_at[endpoint_id] = now
        lapsed = self._lapsed.get(endpoint_id)
        if lapsed is not None:
            lapsed.has_failed_check = not lapsed.is_confirmed

    def record_leaving(self, endpoint_id, started_ms):
        """Record that an incarnation says that it is leaving; return the changes.

        Its registration may say so later, or not at all.
        """
        self._memory.record_leaving(endpoint_id, started_ms)
        known = self._records.get(endpoint_id)
        if known is None or known.started_ms != started_ms or known.is_leaving:
            return []
        return self._set(dataclasses.replace(known, is_leaving=True), known)

    def expire(self, now):
        """Apply what follows from the time; return the changes.

        Lapsed endpoints that have not registered again in time are removed, and get no requests
        before that unless they are confirmed. Unconfirmed ones are confirmed or replaced once the
        store would show if that were wrong.
        """
        changes = []
        for endpoint_id, restart in list(self._possible_restarts.items()):
            if self._read_at - restart.seen_at < self._replacement_s:
                continue
            self._returned_at[endpoint_id] = restart.seen_at
            changes.extend(self._replace(restart.record, self._records[endpoint_id]))
        for endpoint_id, returned_at in list(self._returned_at.items()):
            if endpoint_id in self._lapsed:
                continue
            if self._read_at - returned_at < self._confirmation_s:
                continue
            changes.extend(self.confirm(endpoint_id, self._records[endpoint_id].started_ms))
        for endpoint_id, lapsed in list(self._lapsed.items()):
            if now >= lapsed.remove_at:
                changes.extend(self._delete(endpoint_id))
            elif not lapsed.is_confirmed and now - lapsed.seen_at >= LAPSED_USE_S:
                changes.extend(self._suspend(endpoint_id))
        return changes

    def _put(self, record, now, *, is_first_list=False):
        endpoint_id = record.endpoint_id
        known = self._records.get(endpoint_id)
        lapsed = self._lapsed.pop(endpoint_id, None)
        if lapsed is not None and lapsed.has_failed_check:
            self._returned_at[endpoint_id] = now
        if self._memory.is_leaving(record):
            record = dataclasses.replace(record, is_leaving=True)
        if known is None:
            is_returning = not is_first_list and record.heartbeat_number > FIRST_HEARTBEAT
            if is_returning or self._memory.may_have_ended(record):
                self._returned_at[endpoint_id] = now
            return self._set(record, None)
        if record.started_ms < known.started_ms:
            return self._suspect_restart(record, known, now)
        if record.started_ms > known.started_ms:
            self._returned_at[endpoint_id] = now
            return self._replace(record, known)
        # Also an older write of the known incarnation shows that no other one's has stayed.
        self._drop_possible_restart(endpoint_id, now)
        if record.is_older_than(known):
            return [endpoint_change.EndpointChange(endpoint_change.IGNORED, record, known)]
        return self._set(record, known)

    def _suspect_restart(self, record, known, now):
        """Keep the known record, without requests, until it is known which incarnation lives."""
        suspected = self._possible_restarts.get(record.endpoint_id)
        seen_at = now
        if suspected is not None and suspected.record.started_ms == record.started_ms:
            if record.is_older_than(suspected.record):
                return [endpoint_change.EndpointChange(endpoint_change.IGNORED, record, known)]
            seen_at = suspected.seen_at
        self._possible_restarts[record.endpoint_id] = possible_restart.PossibleRestart(
            record, seen_at
        )
        change = endpoint_change.EndpointChange(endpoint_change.RESTART_SUSPECTED, record, known)
        return [change, *self._suspend(record.endpoint_id)]

    def _suspend(self, endpoint_id):
        """Make an endpoint unconfirmed, if it is not; return the changes."""
        known = self._records[endpoint_id]
        if known.is_unconfirmed:
            return []
        record = dataclasses.replace(known, is_unconfirmed=True)
        self._records[endpoint_id] = record
        return [endpoint_change.EndpointChange(endpoint_change.UNCONFIRMED, record, known)]

    def _drop_possible_restart(self, endpoint_id, now):
        """Keep the known incarnation after all, unconfirmed: its own write may be a late one."""
        if self._possible_restarts.pop(endpoint_id, None) is not None:
            self._returned_at[endpoint_id] = now

    def _replace(self, record, known):
        """Replace an incarnation by another one."""
        self._memory.record_ended(known)
        self._possible_restarts.pop(record.endpoint_id, None)
        return self._set(record, known)

    def _set(self, record, known):
        """Store a record in place of the known one, if any; return the changes."""
        record = dataclasses.replace(
            record,
            last_model=_last_model(record, known),
            is_unconfirmed=record.endpoint_id in self._returned_at,
        )
        self._records[record.endpoint_id] = record
        if record.is_leaving:
            self._memory.record_leaving(record.endpoint_id, record.started_ms)
        return endpoint_change.find_changes(known, record)

    def _remove(self, endpoint_id, now):
        record = self._records.get(endpoint_id)
        if record is None or endpoint_id in self._lapsed:
            return []
        self._drop_possible_restart(endpoint_id, now)
        in_grace_period = self._grace_period_end is not None and now < self._grace_period_end
        if in_grace_period and not record.is_leaving:
            self._lapsed[endpoint_id] = lapse.Lapse(now, self._grace_period_end)
            return [endpoint_change.EndpointChange(endpoint_change.LAPSED, record)]
        return self._delete(endpoint_id)

    def _delete(self, endpoint_id):
        self._lapsed.pop(endpoint_id, None)
        self._returned_at.pop(endpoint_id, None)
        record = self._records.pop(endpoint_id, None)
        if record is None:
            return []
        self._memory.record_ended(record)
        return [endpoint_change.EndpointChange(endpoint_change.REMOVED, record)]


def _last_model(record, known):
    """Return the model of the last group, carried over within an incarnation."""
    if record.models:
        return record.models[0]
    if known is not None and known.started_ms == record.started_ms:
        return known.last_model
    return None
