"""Registration and discovery of nodes in the platform's store."""

import random
import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import restarting_thread
from lynxlanding.peers import directory_schedule, protocol
from lynxlanding.transport import address as transport_address

KIND = "lynxlanding-nodes"
# The number of nodes follows the live nodes at this interval, also without a list.
COUNT_INTERVAL_S = 5.0
# Live nodes delete the registration of a node that has not been live for this long.
DELETE_AFTER_S = 60.0

DIRECTORY_FAILED = "lynxlanding:directory:failed"


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
    access : StoreAccess, optional
        What the node knows of the store, and its role. Without it, the node acts as in a small
        fleet.
    has_failed : callable, optional
        Returns whether the store has refused or not answered the last call of this node, from
        whatever thread.
    random_state : random.Random, optional
        Spreads the calls of several nodes.
    """

    def __init__(
        self,
        store,
        identity,
        table,
        on_node_count,
        access=None,
        has_failed=lambda: False,
        random_state=None,
    ):
        self._store = store
        self._identity = identity
        self._table = table
        self._on_node_count = on_node_count
        self._access = access
        self._has_failed = has_failed
        self._schedule = directory_schedule.DirectorySchedule(random_state or random.Random())
        self._stop = threading.Event()
        self._listed_ids = None
        self._counted_at = 0.0
        self._missing_since = {}

    def start(self):
        """Start the thread that registers this node and discovers the others."""
        restarting_thread.start(self._run, "directory")

    def stop(self):
        """Signal the thread to stop."""
        self._stop.set()

    def _run(self):
        while not self._stop.is_set():
            now = time.monotonic()
            step = self._schedule.next_step(
                now,
                self._store.era,
                is_believed_down=self._access is not None and self._access.is_believed_down(now),
                is_failing=self._has_failed(),
            )
            if step.call is None:
                self._recount(now)
                self._stop.wait(step.wait_s)
                continue
            try:
                self._carry_out(step)
                if self._access is not None:
                    self._access.record_answer(time.monotonic())
            except platform_errors.PlatformError as e:
                self._schedule.record_failed(
                    time.monotonic(), reads_for_others=self._reads_for_others
                )
                eliot.log_message(
                    message_type=DIRECTORY_FAILED,
                    call=step.call,
                    error=e.type_name,
                    detail=str(e)[:200],
                )

    @property
    def _reads_for_others(self):
        return self._access is None or not self._access.is_large or self._access.is_relay

    def _carry_out(self, step):
        if step.call == directory_schedule.REGISTER:
            self._register()
            self._schedule.record_registered(time.monotonic())
            return
        registrations = self._refresh(may_be_stale=step.call == directory_schedule.LIST_STALE)
        self._schedule.record_listed(
            time.monotonic(),
            self._is_registered(registrations),
            self._store.era,
            reads_for_others=self._reads_for_others,
        )

    def _is_registered(self, registrations):
        """Return whether what other nodes read in this node's registration is up to date."""
        own = self._make_registration()
        for registration in registrations:
            if registration.name != self._identity.node_id:
                continue
            value = registration.value if isinstance(registration.value, dict) else {}
            # Reports tell the incarnation, so that a restart alone needs no write.
            return {**value, "incarnation": None} == {**own, "incarnation": None}
        return False

    def _make_registration(self):
        identity = self._identity
        return {
            "address": identity.address,
            "data_centre": identity.data_centre,
            "incarnation": identity.incarnation,
            "protocol": protocol.CURRENT,
        }

    def _register(self):
        node_id = self._identity.node_id
        value = self._make_registration()
        try:
            self._store.create(KIND, node_id, value)
        except platform_errors.ObjectExists:
            existing = self._store.get(KIND, node_id)
            if existing.value != value:
                self._store.update(KIND, node_id, value, existing.version)

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
        self._listed_ids = {registration.name for registration in registrations}
        self._count(live_ids, now)
        if self._reads_for_others:
            self._delete_stale(registrations, live_ids, now)
        return registrations

    def _recount(self, now):
        if self._listed_ids is not None and now - self._counted_at >= COUNT_INTERVAL_S:
            self._count(set(self._table.live_node_ids(now)), now)

    def _count(self, live_ids, now):
        # Live nodes count even if the store has lost their registrations.
        self._counted_at = now
        self._on_node_count(len(self._listed_ids.union(live_ids)))

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
