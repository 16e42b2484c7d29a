"""Registry of the endpoints, fed from the platform's store."""

import dataclasses

from lynxlanding.fleet import endpoint_change

# Endpoints that are alive register again within about two seconds of the store's return.
LAPSE_GRACE_S = 2.0
# Endpoints whose leaving is remembered after they are gone; several days of replacements.
MAX_LEAVING = 5000


class EndpointRegistry:
    """Endpoints that requests and orders may be sent to.

    A newer incarnation replaces an older one and never the other way round, and an endpoint that
    has announced its shutdown stays leaving until it restarts.
    """

    def __init__(self):
        self._records = {}
        # Removal times of endpoints whose registration lapsed during an outage of the store.
        self._lapsed = {}
        self._leaving = {}
        self._grace_until = None
        self._is_store_available = False

    @property
    def records(self):
        """Records by endpoint id, including leaving ones; not to be changed by callers."""
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
        return record is not None and not record.is_leaving

    def on_store_lost(self):
        """Record that the store does not answer; the registry keeps what it knows."""
        self._is_store_available = False

    def on_store_regained(self, now, was_outage):
        """Record that the store answers again at ``now`` (monotonic seconds)."""
        self._is_store_available = True
        if was_outage:
            self._grace_until = now + LAPSE_GRACE_S

    def apply_list(self, records, now):
        """Replace the registry by a complete list; return the changes.

        Parameters
        ----------
        records : list of EndpointRecord
            Every valid entry of the store.
        now : float
            Time of the list, monotonic seconds.
        """
        changes = []
        present = set()
        for record in records:
            present.add(record.endpoint_id)
            changes.extend(self._put(record))
        for endpoint_id in list(self._records):
            if endpoint_id in present:
                continue
            changes.extend(self._remove(endpoint_id, now))
        return changes

    def apply_changes(self, records, removed_ids, now):
        """Apply the events of a watch; return the changes."""
        changes = []
        for endpoint_id in removed_ids:
            changes.extend(self._remove(endpoint_id, now))
        for record in records:
            changes.extend(self._put(record))
        return changes

    def expire(self, now):
        """Remove the lapsed endpoints that did not register again in time."""
        changes = []
        for endpoint_id, removal_at in list(self._lapsed.items()):
            if now < removal_at:
                continue
            changes.extend(self._forget(endpoint_id))
        return changes

    def _put(self, record):
        self._lapsed.pop(record.endpoint_id, None)
        known = self._records.get(record.endpoint_id)
        leaving_born_ms = self._leaving.get(record.endpoint_id)
        if leaving_born_ms is not None and record.born_ms <= leaving_born_ms:
            record = dataclasses.replace(record, is_leaving=True)
        if known is not None and record.precedes(known):
            return []
        record = _with_last_model(record, known)
        self._records[record.endpoint_id] = record
        if record.is_leaving:
            self._leaving[record.endpoint_id] = record.born_ms
            while len(self._leaving) > MAX_LEAVING:
                del self._leaving[next(iter(self._leaving))]
        if known is None:
            return [endpoint_change.EndpointChange(endpoint_change.ADDED, record)]
        changes = []
        if known.born_ms != record.born_ms:
            changes.append(endpoint_change.EndpointChange(endpoint_change.RESTARTED, record))
        if record.is_leaving and not known.is_leaving:
            changes.append(endpoint_change.EndpointChange(endpoint_change.LEAVING, record))
        if known.membership != record.membership:
            changes.append(endpoint_change.EndpointChange(endpoint_change.REGROUPED, record))
        elif known.staged_models != record.staged_models:
            changes.append(endpoint_change.EndpointChange(endpoint_change.STAGED, record))
        return changes

    def _remove(self, endpoint_id, now):
        record = self._records.get(endpoint_id)
        if record is None or endpoint_id in self._lapsed:
            return []
        in_grace = self._grace_until is not None and now < self._grace_until
        if in_grace and not record.is_leaving:
            self._lapsed[endpoint_id] = self._grace_until
            return [endpoint_change.EndpointChange(endpoint_change.LAPSED, record)]
        return self._forget(endpoint_id)

    def _forget(self, endpoint_id):
        self._lapsed.pop(endpoint_id, None)
        record = self._records.pop(endpoint_id, None)
        if record is None:
            return []
        # A late write of the same incarnation must not bring the endpoint back as a usable one,
        # unless it registers under a later start.
        return [endpoint_change.EndpointChange(endpoint_change.REMOVED, record)]


def _with_last_model(record, known):
    """Return the record with the model of the incarnation's last group."""
    last_model = record.models[0] if record.models else None
    if last_model is None and known is not None and known.born_ms == record.born_ms:
        last_model = known.last_model
    return dataclasses.replace(record, last_model=last_model)
