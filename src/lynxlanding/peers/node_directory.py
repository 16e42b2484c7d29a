"""Registers the node in the platform's store and finds the others there."""

import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import guarded_thread

KIND = "lynxlanding-nodes"
# New nodes report to all others by themselves; the list is for nodes that start in a partition.
REFRESH_S = 5.0
# A node that is not registered gets no reports, so it tries again soon.
RETRY_S = 0.4
# A registration whose node was not heard for this long is deleted by the nodes that are alive.
DELETE_AFTER_S = 60.0


class NodeDirectory:
    """Registrations of nodes.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    identity : NodeIdentity
        This node.
    table : PeerTable
        Told of the other nodes.
    on_count : callable
        Called with the number of registered nodes.
    """

    def __init__(self, store, identity, table, on_count):
        self._store = store
        self._identity = identity
        self._table = table
        self._on_count = on_count
        self._stop = threading.Event()
        self._first_seen = {}

    def start(self):
        """Register and look for others from a thread of its own."""
        guarded_thread.start(self._run, "directory")

    def stop(self):
        """Stop looking."""
        self._stop.set()

    def _run(self):
        is_registered = False
        wait_s = 0.0
        while not self._stop.wait(wait_s):
            try:
                if not is_registered:
                    self._register()
                    is_registered = True
                    self._refresh(may_be_stale=False)
                else:
                    self._refresh(may_be_stale=True)
                wait_s = REFRESH_S
            except platform_errors.PlatformError as e:
                wait_s = RETRY_S
                eliot.log_message(
                    message_type="lynxlanding:directory:failed",
                    error=e.type_name,
                    detail=str(e)[:200],
                )

    def _register(self):
        identity = self._identity
        value = {
            "address": identity.address,
            "data_centre": identity.data_centre,
            "incarnation": identity.incarnation,
        }
        try:
            self._store.create(KIND, identity.node_id, value)
        except platform_errors.ObjectExists:
            known = self._store.get(KIND, identity.node_id)
            if known.value != value:
                self._store.update(KIND, identity.node_id, value, known.version)

    def _refresh(self, *, may_be_stale):
        objects, _ = self._store.list(KIND, may_be_stale=may_be_stale)
        now = time.monotonic()
        for item in objects:
            address = item.value.get("address") if isinstance(item.value, dict) else None
            if isinstance(address, str):
                self._table.note_registered(item.name, address, now)
        self._on_count(max(1, len(objects)))
        self._delete_dead(objects, now)

    def _delete_dead(self, objects, now):
        live = set(self._table.live(now))
        for item in objects:
            if item.name in live:
                self._first_seen.pop(item.name, None)
                continue
            since = self._first_seen.setdefault(item.name, now)
            if now - since < DELETE_AFTER_S:
                continue
            self._first_seen.pop(item.name, None)
            try:
                self._store.delete(KIND, item.name, item.version)
            except platform_errors.ObjectNotFound:
                # Another node has deleted it.
                continue
