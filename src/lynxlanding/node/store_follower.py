"""Keeps a node's copy of one kind of objects up to date."""

import threading
import time

import eliot

from lynxlanding.errors import platform as platform_errors
from lynxlanding.observability import guarded_thread

# A store that has gone silent is noticed only when a watch ends, and nodes must follow it again
# within about three seconds of its return.
WATCH_S = 2.5
# Watch while the store is away, so that its return is noticed at once.
SHORT_WATCH_S = 0.2
# Every call is priced, refused ones too; five a second find the store's return soon enough.
RETRY_PAUSE_S = 0.2
# A store that was silent for longer than this counts as having been away.
OUTAGE_S = 0.5

STORE_LOST = "lynxlanding:store:lost"
STORE_REGAINED = "lynxlanding:store:regained"


class StoreFollower:
    """Lists a kind once and then follows its changes.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    kind : str
        Kind of the objects.
    handler : FollowerHandler
        Receives lists and changes.
    pause_s : callable, optional
        Returns how long changes are collected before the next watch. Every call is priced, and a
        watch returns with the first change.
    """

    def __init__(self, store, kind, handler, pause_s=None):
        self._store = store
        self._kind = kind
        self._handler = handler
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._lost_at = None

    def start(self):
        """Follow from a thread of its own."""
        guarded_thread.start(self._run, f"follow {self._kind}")

    def stop(self):
        """Stop following."""
        self._stop.set()

    def _run(self):
        version = None
        while not self._stop.is_set():
            try:
                version = self._step(version)
                if self._pause_s is not None:
                    self._stop.wait(self._pause_s())
            except platform_errors.WatchExpired as e:
                eliot.log_message(
                    message_type="lynxlanding:store:history_expired",
                    kind=self._kind,
                    version=version,
                    detail=str(e),
                )
                version = None
            except platform_errors.PlatformError as e:
                self._note_lost(e)
                self._stop.wait(RETRY_PAUSE_S)

    def _step(self, version):
        if version is None:
            objects, version = self._store.list(self._kind)
            self._handler.on_list(objects, version, time.monotonic(), self._note_regained())
            return version
        wait_s = WATCH_S if self._lost_at is None else SHORT_WATCH_S
        batch = self._store.watch(self._kind, version, wait_s)
        was_outage = self._note_regained()
        self._handler.on_changes(batch.puts, batch.deletes, time.monotonic(), was_outage)
        return batch.version

    def _note_lost(self, error):
        if self._lost_at is not None:
            return
        self._lost_at = time.monotonic()
        eliot.log_message(
            message_type=STORE_LOST, kind=self._kind, error=error.type_name, detail=str(error)[:200]
        )
        self._handler.on_lost()

    def _note_regained(self):
        """Return whether the store was away since the last answer."""
        if self._lost_at is None:
            return False
        away_s = time.monotonic() - self._lost_at
        self._lost_at = None
        eliot.log_message(message_type=STORE_REGAINED, kind=self._kind, away_s=round(away_s, 3))
        return away_s > OUTAGE_S
