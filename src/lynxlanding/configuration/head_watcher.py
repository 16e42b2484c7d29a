"""Reads and watches the head in the store."""

import logging
import time

from lynxlanding.configuration import head, repository, store_calls, store_layout
from lynxlanding.errors import base as base_errors
from lynxlanding.errors import platform as platform_errors

# A watch that returns without an event confirms the head as of its start, so this bounds the age
# of a confirmation. Two watchers in each of 15 data centres make 8 calls per second.
WATCH_TIMEOUT_S = 4.0
RETRY_S = 0.5
MAX_RETRY_S = 2.0

_logger = logging.getLogger(__name__)


class HeadWatcher:
    """Runs the store calls of the propagation on threads of its own.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    random_state : numpy.random.Generator
        Spreads retries.
    stop : threading.Event
        Ends the watch.
    """

    def __init__(self, store, random_state, stop):
        self._store = store
        self._random = random_state
        self._stop = stop

    def read(self, actor):
        """Read the head once and tell the ``ConfigurationActor``."""
        read_at = time.monotonic()
        try:
            found, _ = store_calls.run(repository.read_head(), self._store)
        except base_errors.LynxlandingError as e:
            _logger.info("cannot read the configuration head: %s", e)
            actor.head_failed()
            return
        actor.head_read(found, read_at)

    def watch(self, actor, is_watching):
        """Watch the head until ``is_watching()`` is false or the node stops."""
        version, known, retry_s = None, None, RETRY_S
        while is_watching() and not self._stop.is_set():
            read_at = time.monotonic()
            try:
                if version is None:
                    known, version = self._list()
                else:
                    known, version = self._wait(known, version)
            except platform_errors.WatchExpired:
                version = None
                continue
            except base_errors.LynxlandingError as e:
                _logger.info("configuration watch failed: %s", e)
                actor.head_failed()
                version = None
                self._stop.wait(retry_s * (0.5 + self._random.random()))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            retry_s = RETRY_S
            actor.head_read(known, read_at)

    def _list(self):
        items, version = self._store.list(store_layout.HEADS)
        for item in items:
            if item.name == store_layout.CURRENT:
                return head.from_document(item.value), version
        return head.Head(), version

    def _wait(self, known, version):
        batch = self._store.watch(store_layout.HEADS, version, WATCH_TIMEOUT_S)
        for item in batch.puts:
            if item.name == store_layout.CURRENT:
                known = head.from_document(item.value)
        return known, batch.version
