"""Updates the endpoint registry from the registrations in the store."""

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.fleet import endpoint_change
from lynxlanding.platform import endpoint_codec

ENDPOINT_CHANGED = "lynxlanding:endpoint:changed"
RECORD_IGNORED = "lynxlanding:endpoint:ignored"
ENTRY_SKIPPED = "lynxlanding:endpoint:entry_skipped"

# After these changes, no further requests are sent to the incarnation.
_ENDINGS = frozenset({endpoint_change.LEAVING, endpoint_change.REMOVED, endpoint_change.RESTARTED})

_STARTS = frozenset({endpoint_change.ADDED, endpoint_change.RESTARTED})


class EndpointHandler:
    """``WatchHandler`` of the endpoints.

    Parameters
    ----------
    serving : ServingActor proxy
        Owner of the registry.
    node_status : NodeStatus
        Notified when the store has confirmed the registry.
    pool : ConnectionPool
        Closes the connections to removed and restarted endpoints.
    on_change : callable
        Called without arguments after the registry has changed.
    on_started : callable, optional
        Called with the record of an incarnation that was not known before.
    """

    def __init__(self, serving, node_status, pool, on_change, on_started=lambda record: None):
        self._serving = serving
        self._node_status = node_status
        self._pool = pool
        self._on_change = on_change
        self._on_started = on_started
        self._ignored_total = 0

    @property
    def ignored_total(self):
        """Number of records that were ignored since the start of the process."""
        return self._ignored_total

    def on_list(self, objects, version, now, was_outage):
        """Replace the registry by a complete list."""
        records, _ = _decode_records(objects)
        changes = self._serving.apply_list(records, version, now, was_outage).get()
        self.process_changes(changes, now)

    def on_changes(self, puts, deletes, version, now, was_outage):
        """Apply changes; an endpoint whose entry is malformed counts as removed."""
        records, malformed_ids = _decode_records(puts)
        removed_ids = [*deletes, *malformed_ids]
        changes = self._serving.apply_changes(records, removed_ids, version, now, was_outage).get()
        self.process_changes(changes, now)

    def on_store_rolled_back(self):
        """Record that the next list is older than what the registry knows."""
        self._serving.on_store_rolled_back()

    def on_store_unavailable(self):
        """Record that the store is unavailable; the registry keeps its endpoints."""
        self._serving.on_store_unavailable()

    def process_changes(self, changes, now):
        """Log changes of the registry, drop obsolete connections and call ``on_change``.

        Parameters
        ----------
        changes : list of EndpointChange
            Changes that the registry has applied, and records that it has ignored.
        now : float or None
            When the store confirmed the registry, monotonic seconds; None if the changes did not
            come from the store.
        """
        # The store acknowledged the changes after the previous confirmation.
        unread_s = self._node_status.registry_age_s
        if now is not None:
            self._node_status.confirm_registry(now)
        has_changed = False
        for change in changes:
            if change.kind == endpoint_change.IGNORED:
                self._ignored_total += 1
                _log_ignored(change)
                continue
            has_changed = True
            self._log_changed(change, unread_s)
            if change.kind in _STARTS:
                self._on_started(change.record)
            if change.kind in (endpoint_change.REMOVED, endpoint_change.RESTARTED):
                self._pool.close_endpoint(change.record.endpoint_id)
        if has_changed:
            self._on_change()

    def _log_changed(self, change, unread_s):
        record = change.record
        membership = record.membership
        in_flight = None
        if change.kind in _ENDINGS:
            in_flight = self._serving.own_load().get().get(record.endpoint_id, 0)
        eliot.log_message(
            message_type=ENDPOINT_CHANGED,
            change=change.kind,
            endpoint=record.endpoint_id,
            service=record.service,
            address=record.address,
            **_describe(record),
            known_born_ms=None if change.known is None else change.known.started_ms,
            unread_s=unread_s,
            in_flight=in_flight,
            models=record.models,
            staged=record.staged_models,
            group=membership.name if membership else None,
            epoch=membership.epoch if membership else None,
            rank=membership.rank if membership else None,
            state=membership.state if membership else None,
        )


def _describe(record):
    """Return the fields by which records of one endpoint are told apart."""
    return {
        "version": None if record.version is None else str(record.version),
        "born_ms": record.started_ms,
        "heartbeat": record.heartbeat_number,
        "is_leaving": record.is_leaving,
        "is_unconfirmed": record.is_unconfirmed,
    }


def _log_ignored(change):
    known = {}
    if change.known is not None:
        known = {f"known_{name}": value for name, value in _describe(change.known).items()}
    eliot.log_message(
        message_type=RECORD_IGNORED,
        endpoint=change.record.endpoint_id,
        **_describe(change.record),
        **known,
    )


def _decode_records(objects):
    """Return the decoded records and the ids of endpoints with malformed entries."""
    records = []
    malformed_ids = []
    for stored in objects:
        try:
            records.append(endpoint_codec.decode(stored.name, stored.value, stored.version))
        except platform_errors.MalformedEntry as e:
            eliot.log_message(
                message_type=ENTRY_SKIPPED,
                entry=stored.name,
                version=str(stored.version),
                reason=str(e),
            )
            malformed_ids.append(stored.name)
    return records, malformed_ids
