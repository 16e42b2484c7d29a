"""Registration and discovery of nodes in the platform's store."""

import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import protocol
from lynxlanding.transport import address as transport_address

KIND = "lynxlanding-nodes"
# New nodes send reports to all others on their own; refreshing the list finds nodes that started
# during a network partition.
REFRESH_INTERVAL_S = 5.0
# Short, because a node that is not registered receives no reports.
RETRY_DELAY_S = 0.4
# Live nodes delete the registration of a node that has not been live for this long.
DELETE_AFTER_S = 60.0


class NodeDirectory:
    """Registers this node and discovers the others.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    identity : PeerIdentity
        This node.
    table : PeerTable
        Receives the registered nodes.
    on_node_count : callable
        Called with the number of registered nodes.
    """

    def __init__(self, store, identity, table, on_node_count):
        self._store = store
        self._identity = identity
        self._table = table
        self._on_node_count = on_node_count
        self._stop = threading.Event()
        self._missing_since = {}

    def start(self):
        """Start the thread that registers this node and discovers the others."""
        restarting_thread.start(self._run, "directory")

    def stop(self):
        """Signal the thread to stop."""
        self._stop.set()

    def _run(self):
        # A store that comes back from an older copy may have lost the registration.
        registered_era = None
        wait_s = 0.0
        while not self._stop.wait(wait_s):
            try:
                if registered_era is None or registered_era != self._store.era:
                    self._register()
                    registered_era = self._store.era
                    self._refresh(may_be_stale=False)
                else:
                    self._refresh(may_be_stale=True)
                wait_s = REFRESH_INTERVAL_S
            except platform_errors.PlatformError as e:
                wait_s = RETRY_DELAY_S
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
            "protocol": protocol.CURRENT,
        }
        try:
            self._store.create(KIND, identity.node_id, value)
        except platform_errors.ObjectExists:
            existing = self._store.get(KIND, identity.node_id)
            if existing.value != value:
                self._store.update(KIND, identity.node_id, value, existing.version)

    def _refresh(self, *, may_be_stale):
        registrations, _ = self._store.list(KIND, may_be_stale=may_be_stale)
        now = time.monotonic()
        for registration in registrations:
            value = registration.value if isinstance(registration.value, dict) else {}
            address = value.get("address")
            if not isinstance(address, str) or not transport_address.is_valid(address):
                # Written by something else, or by a node of a later version.
                continue
            version = value.get("protocol")
            if not isinstance(version, int):
                version = protocol.UNSTATED
            self._table.record_registration(registration.name, address, now, version)
        live_ids = set(self._table.live_node_ids(now))
        # Live nodes count even if the store has lost their registrations.
        node_ids = {registration.name for registration in registrations}
        self._on_node_count(len(node_ids.union(live_ids)))
        self._delete_stale(registrations, live_ids, now)

    def _delete_stale(self, registrations, live_ids, now):
        for registration in registrations:
            if registration.name in live_ids:
                self._missing_since.pop(registration.name, None)
                continue
            missing_since = self._missing_since.setdefault(registration.name, now)
            if now - missing_since < DELETE_AFTER_S:
                continue
            self._missing_since.pop(registration.name, None)
            try:
                self._store.delete(KIND, registration.name, registration.version)
            except platform_errors.ObjectNotFound:
                # Another node has already deleted it.
                continue
