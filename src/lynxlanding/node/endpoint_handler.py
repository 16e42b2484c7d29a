"""Feeds the registry with the endpoints' registrations."""

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.platform import endpoint_codec

ENDPOINT_CHANGED = "lynxlanding:endpoint:changed"
ENTRY_SKIPPED = "lynxlanding:endpoint:entry_skipped"


class EndpointHandler:
    """``FollowerHandler`` of the endpoints.

    Parameters
    ----------
    serving : ServingActor proxy
        Owner of the registry.
    view : NodeView
        Told when the store has confirmed the registry.
    pool : ConnectionPool
        Drops the connections to endpoints that are gone.
    on_change : callable
        Called after changes, without arguments.
    """

    def __init__(self, serving, view, pool, on_change):
        self._serving = serving
        self._view = view
        self._pool = pool
        self._on_change = on_change

    def on_list(self, objects, version, now, was_outage):
        """Replace the registry."""
        del version
        records, _ = _decode(objects)
        self.report(self._serving.apply_list(records, now, was_outage).get(), now)

    def on_changes(self, puts, deletes, now, was_outage):
        """Apply changes."""
        records, unreadable = _decode(puts)
        removed = [*deletes, *unreadable]
        self.report(self._serving.apply_changes(records, removed, now, was_outage).get(), now)

    def on_lost(self):
        """Keep what is known."""
        self._serving.on_store_lost()

    def report(self, changes, now):
        """Log changes of the registry and tell who waits for them."""
        if now is not None:
            self._view.confirm_registry(now)
        for change in changes:
            record = change.record
            held = record.membership
            eliot.log_message(
                message_type=ENDPOINT_CHANGED,
                change=change.kind,
                endpoint=record.endpoint_id,
                service=record.service,
                address=record.address,
                born_ms=record.born_ms,
                is_leaving=record.is_leaving,
                models=record.models,
                staged=record.staged_models,
                group=held.name if held else None,
                epoch=held.epoch if held else None,
                rank=held.rank if held else None,
                state=held.state if held else None,
            )
            if change.kind in ("removed", "restarted"):
                self._pool.forget(record.endpoint_id)
        if changes:
            self._on_change()


def _decode(objects):
    records = []
    unreadable = []
    for item in objects:
        try:
            records.append(endpoint_codec.decode(item.name, item.value))
        except platform_errors.MalformedEntry as e:
            eliot.log_message(
                message_type=ENTRY_SKIPPED, entry=item.name, version=item.version, reason=str(e)
            )
            unreadable.append(item.name)
    return records, unreadable
