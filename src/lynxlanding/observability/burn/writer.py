"""Writes the burn counts of the node to the store."""

import logging
import uuid

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability.burn import slo_object

_logger = logging.getLogger(__name__)


class BurnWriter:
    """Writes ``slo/{node}`` with one conditional update for each write in steady state.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    node_id : str
        Node whose object is written.
    burn_actor : BurnActor proxy
        Owner of the counts.
    """

    def __init__(self, store, node_id, burn_actor):
        self._store = store
        self._node_id = node_id
        self._burn_actor = burn_actor
        self._incarnation = uuid.uuid4().hex
        # Value and version after the last read or write; None if they must be read again.
        self._cached_item = None
        self._registered_day = None

    @property
    def incarnation(self):
        """Incarnation under which the counts are written."""
        return self._incarnation

    def write(self, now):
        """Write the counts; return whether the store has confirmed them.

        The counts stay in memory, so the next write includes those of a failed one. Once a day,
        the node also registers in the index.

        Parameters
        ----------
        now : float
            Seconds since the epoch.
        """
        try:
            is_confirmed = self._write_counts(now)
            if is_confirmed and self._registered_day != int(now // slo_object.DAY_S):
                self._register(now)
        except platform_errors.PlatformError as e:
            # If the outcome of the write is unknown, so is the version.
            self._cached_item = None
            _logger.warning("cannot write the service-level counts: %s", e)
            return False
        return is_confirmed

    def _write_counts(self, now):
        own_counts = self._burn_actor.document(now).get()
        for _ in range(3):
            if self._cached_item is None:
                self._cached_item = self._read()
            value, version = self._cached_item
            value = slo_object.with_part(value, self._incarnation, own_counts, now)
            if value is None:
                self._start_incarnation()
                own_counts = []
                continue
            try:
                self._cached_item = (value, self._create_or_update(value, version))
                return True
            except (platform_errors.VersionConflict, platform_errors.ObjectExists):
                self._cached_item = None
            except platform_errors.ObjectNotFound:
                self._cached_item = None
        return False

    def _register(self, now):
        try:
            item = self._store.get(slo_object.INDEX_KIND, slo_object.INDEX_NAME)
            index, version = item.value, item.version
        except platform_errors.ObjectNotFound:
            index, version = {}, None
        index, expired = slo_object.with_registration(index, self._node_id, now)
        try:
            if version is None:
                self._store.create(slo_object.INDEX_KIND, slo_object.INDEX_NAME, index)
            else:
                self._store.update(slo_object.INDEX_KIND, slo_object.INDEX_NAME, index, version)
        except (platform_errors.VersionConflict, platform_errors.ObjectExists):
            # Another node registered at the same time; the next call of ``write`` retries.
            return
        self._registered_day = int(now // slo_object.DAY_S)
        for name in expired:
            self._delete_expired(name, now)

    def _delete_expired(self, name, now):
        try:
            item = self._store.get(slo_object.KIND, name)
            if (
                now - slo_object.written_at(item.value)
                > slo_object.RETENTION_DAYS * slo_object.DAY_S
            ):
                self._store.delete(slo_object.KIND, name, item.version)
        except (platform_errors.ObjectNotFound, platform_errors.VersionConflict):
            return

    def _read(self):
        try:
            item = self._store.get(slo_object.KIND, self._node_id)
        except platform_errors.ObjectNotFound:
            return slo_object.empty_value(self._node_id), None
        return item.value, item.version

    def _create_or_update(self, value, version):
        if version is None:
            return self._store.create(slo_object.KIND, self._node_id, value).version
        return self._store.update(slo_object.KIND, self._node_id, value, version).version

    def _start_incarnation(self):
        _logger.warning(
            "the counts of this incarnation were already merged after a long pause of the process; "
            "counting continues as a new incarnation"
        )
        self._incarnation = uuid.uuid4().hex
        self._burn_actor.reset().get()
