"""Reads and watches the configuration head in the store."""

import logging
import time

from lynxlanding.configuration import head, repository, store_calls, store_layout
from lynxlanding.errors import base as base_errors
from lynxlanding.errors import platform as platform_errors

# A watch that returns without an event confirms the head as of the start of the call, so this
# limits the age of a confirmation. Two watchers in each of 15 data centres make 8 calls per second.
WATCH_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 2.0

_logger = logging.getLogger(__name__)


class HeadWatcher:
    """Reads the head from the store and reports it to the ``ConfigurationActor``.

    The methods block; each call runs on a thread of its own.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    random_state : numpy.random.Generator
        Randomises the retry delay.
    stop : threading.Event
        Ends the watch.
    """

    def __init__(self, store, random_state, stop):
        self._store = store
        self._random = random_state
        self._stop = stop

    def read(self, actor):
        """Read the head once and report it to the actor."""
        read_at = time.monotonic()
        try:
            current, _ = store_calls.run(repository.read_head(), self._store)
        except base_errors.LynxlandingError as e:
            _logger.info("cannot read the configuration head: %s", e)
            actor.head_failed()
            return
        actor.head_read(current, read_at)

    def watch(self, actor, is_watching):
        """Watch the head until ``is_watching()`` returns False or the node stops."""
        version, current, retry_delay_s = None, None, RETRY_DELAY_S
        while is_watching() and not self._stop.is_set():
            read_at = time.monotonic()
            try:
                if version is None:
                    current, version = self._list()
                else:
                    current, version = self._wait(current, version)
            except platform_errors.WatchExpired:
                version = None
                continue
            except base_errors.LynxlandingError as e:
                _logger.info("cannot watch the configuration head: %s", e)
                actor.head_failed()
                version = None
                self._stop.wait(retry_delay_s * (0.5 + self._random.random()))
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            retry_delay_s = RETRY_DELAY_S
            actor.head_read(current, read_at)

    def _list(self):
        items, version = self._store.list(store_layout.HEADS)
        for item in items:
            if item.name == store_layout.CURRENT:
                return head.from_document(item.value), version
        return head.Head(), version

    def _wait(self, current, version):
        batch = self._store.watch(store_layout.HEADS, version, WATCH_TIMEOUT_S)
        for item in batch.puts:
            if item.name == store_layout.CURRENT:
                current = head.from_document(item.value)
        return current, batch.version
