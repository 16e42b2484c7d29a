"""In-memory registry of the endpoints, updated from the platform's store."""

import dataclasses

from lynxlanding.fleet import endpoint_change

# Live endpoints register again within about two seconds after an outage of the store.
LAPSE_GRACE_S = 2.0
# Incarnations remembered as leaving or removed; enough for several days of replacements.
MAX_REMEMBERED_INCARNATIONS = 5000
DEFAULT_HEARTBEAT_INTERVAL_S = 1.2
# The store removes an entry after three heartbeat intervals without a heartbeat. One that is still
# there after four receives heartbeats.
CONFIRMATION_INTERVALS = 4.0


class EndpointRegistry:
    """Endpoints that requests and orders may be sent to.

    A record of an older incarnation never replaces that of a newer one. An endpoint that has
    announced its shutdown stays leaving until it restarts.

    An entry that comes back after its removal is either that of an endpoint that could not reach
    the store for a while, or a late write of one that is gone. Nothing in the store tells these
    apart, so the endpoint stays unconfirmed until it answers a health check or the store has kept
    the entry for longer than it keeps one without heartbeats.

    Parameters
    ----------
    heartbeat_interval_s : float
        Interval at which endpoints write their registrations, in seconds.
    """

    def __init__(self, heartbeat_interval_s=DEFAULT_HEARTBEAT_INTERVAL_S):
        self._confirmation_s = CONFIRMATION_INTERVALS * heartbeat_interval_s
        self._records = {}
        # Times at which endpoints that lapsed during an outage of the store are removed.
        self._lapsed = {}
        # Start times of the leaving incarnations by endpoint id.
        self._leaving = {}
        # Start times of the removed incarnations by endpoint id.
        self._removed = {}
        # Times at which unconfirmed endpoints came back, by endpoint id.
        self._returned_at = {}
        self._read_at = None
        self._grace_period_end = None
        self._is_store_available = False
        self._is_next_list_older = False

    @property
    def records(self):
        """Records by endpoint id, including leaving endpoints; callers must not modify it."""
        return self._records

    @property
    def is_store_available(self):
        """Whether the last call to the store succeeded."""
        return self._is_store_available

    def get(self, endpoint_id):
        """Return the record of an endpoint or None."""
        return self._records.get(endpoint_id)

    def is_usable(self, endpoint_id):
        """Return whether new requests may be sent to the endpoint."""
        record = self._records.get(endpoint_id)
        return record is not None and record.accepts_requests

    def returned_records(self):
        """Return the records of endpoints that would get requests if they were confirmed."""
        returned = []
        for endpoint_id in self._returned_at:
            record = self._records[endpoint_id]
            if record.is_leaving or (record.is_engine and not record.is_serving_head):
                continue
            returned.append(record)
        return returned

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

    def apply_list(self, records, now):
        """Replace the contents of the registry by a complete list; return the changes.

        Parameters
        ----------
        records : list of EndpointRecord
            All valid entries of the store.
        now : float
            Time at which the list was read, in monotonic seconds.
        """
        self._read_at = now
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
            changes.extend(self._put(record, now))
        for endpoint_id in list(self._records):
            if endpoint_id in listed_ids:
                continue
            changes.extend(self._remove(endpoint_id, now))
        return changes

    def apply_changes(self, records, removed_ids, now):
        """Apply the events of a watch; return the changes."""
        self._read_at = now
        changes = []
        for endpoint_id in removed_ids:
            changes.extend(self._remove(endpoint_id, now))
        for record in records:
            changes.extend(self._put(record, now))
        return changes

    def confirm(self, endpoint_id, started_ms):
        """Record that an unconfirmed incarnation serves and is not leaving; return the changes."""
        record = self._records.get(endpoint_id)
        if endpoint_id not in self._returned_at or record.started_ms != started_ms:
            return []
        del self._returned_at[endpoint_id]
        confirmed = dataclasses.replace(record, is_unconfirmed=False)
        self._records[endpoint_id] = confirmed
        return [endpoint_change.EndpointChange(endpoint_change.CONFIRMED, confirmed, record)]

    def expire(self, now):
        """Apply what follows from the time; return the changes.

        Lapsed endpoints that have not registered again in time are removed. Returned ones whose
        entry receives heartbeats are confirmed.
        """
        changes = []
        for endpoint_id, returned_at in list(self._returned_at.items()):
            # The removal of the entry shows only in what was read from the store.
            if self._read_at - returned_at >= self._confirmation_s:
                record = self._records[endpoint_id]
                changes.extend(self.confirm(endpoint_id, record.started_ms))
        for endpoint_id, remove_at in list(self._lapsed.items()):
            if now < remove_at:
                continue
            changes.extend(self._delete(endpoint_id))
        return changes

    def _put(self, record, now):
        self._lapsed.pop(record.endpoint_id, None)
        known = self._records.get(record.endpoint_id)
        leaving_start_ms = self._leaving.get(record.endpoint_id)
        if leaving_start_ms is not None and record.started_ms <= leaving_start_ms:
            record = dataclasses.replace(record, is_leaving=True)
        if known is not None and record.is_older_than(known):
            return [endpoint_change.EndpointChange(endpoint_change.IGNORED, record, known)]
        self._check_return(record, known, now)
        record = dataclasses.replace(
            record,
            last_model=_last_model(record, known),
            is_unconfirmed=record.endpoint_id in self._returned_at,
        )
        self._records[record.endpoint_id] = record
        if record.is_leaving:
            _remember(self._leaving, record)
        if known is None:
            return [endpoint_change.EndpointChange(endpoint_change.ADDED, record)]
        changes = []
        if known.started_ms != record.started_ms:
            changes.append(endpoint_change.EndpointChange(endpoint_change.RESTARTED, record, known))
        if record.is_leaving and not known.is_leaving:
            changes.append(endpoint_change.EndpointChange(endpoint_change.LEAVING, record, known))
        if known.membership != record.membership:
            changes.append(endpoint_change.EndpointChange(endpoint_change.REGROUPED, record, known))
        elif known.staged_models != record.staged_models:
            changes.append(endpoint_change.EndpointChange(endpoint_change.STAGED, record, known))
        return changes

    def _check_return(self, record, known, now):
        """Record whether the entry has come back after its removal."""
        if known is None:
            removed_start_ms = self._removed.get(record.endpoint_id)
            if removed_start_ms is not None and record.started_ms <= removed_start_ms:
                self._returned_at[record.endpoint_id] = now
        elif record.started_ms != known.started_ms:
            self._returned_at.pop(record.endpoint_id, None)

    def _remove(self, endpoint_id, now):
        record = self._records.get(endpoint_id)
        if record is None or endpoint_id in self._lapsed:
            return []
        in_grace_period = self._grace_period_end is not None and now < self._grace_period_end
        if in_grace_period and not record.is_leaving:
            self._lapsed[endpoint_id] = self._grace_period_end
            return [endpoint_change.EndpointChange(endpoint_change.LAPSED, record)]
        return self._delete(endpoint_id)

    def _delete(self, endpoint_id):
        self._lapsed.pop(endpoint_id, None)
        self._returned_at.pop(endpoint_id, None)
        record = self._records.pop(endpoint_id, None)
        if record is None:
            return []
        _remember(self._removed, record)
        # The entry in ``_leaving`` stays, so that a late write of the same incarnation does not
        # make the endpoint usable again; only a later incarnation does.
        return [endpoint_change.EndpointChange(endpoint_change.REMOVED, record)]


def _remember(incarnations, record):
    """Store the start time of an incarnation; drop the oldest if there are too many."""
    incarnations.pop(record.endpoint_id, None)
    incarnations[record.endpoint_id] = record.started_ms
    while len(incarnations) > MAX_REMEMBERED_INCARNATIONS:
        del incarnations[next(iter(incarnations))]


def _last_model(record, known):
    """Return the model of the last group, carried over within an incarnation."""
    if record.models:
        return record.models[0]
    if known is not None and known.started_ms == record.started_ms:
        return known.last_model
    return None
