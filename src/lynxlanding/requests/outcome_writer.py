"""Writes the outcomes of claims in the background."""

import heapq
import itertools
import threading
import time

import eliot

from lynxlanding.errors import base
from lynxlanding.requests import claim_store_calls

# A slow store holds up one call for seconds; a few workers keep the others moving.
WORKERS = 4


class OutcomeWriter:
    """Worker threads over a heap of due writes.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    on_written : callable
        Called with the ``OutcomeWrite`` when nothing is left to write.
    """

    def __init__(self, store, on_written):
        self._store = store
        self._on_written = on_written
        self._changed = threading.Condition()
        self._due = []
        self._order = itertools.count()
        self._unfinished = 0
        self._stopping = False
        self._threads = []

    @property
    def unfinished(self):
        """Number of outcomes that are not in the store yet."""
        return self._unfinished

    def start(self):
        """Start the workers."""
        for number in range(WORKERS):
            thread = threading.Thread(
                target=self._run, name=f"outcome-writer-{number}", daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def submit(self, name, write):
        """Write an outcome as soon as possible."""
        with self._changed:
            self._unfinished += 1
            self._push(time.monotonic(), name, write)

    def wait_written(self, limit_s):
        """Wait up to ``limit_s`` seconds for the writes; return how many remain."""
        with self._changed:
            self._changed.wait_for(lambda: self._unfinished == 0, limit_s)
            return self._unfinished

    def stop(self):
        """End the workers; unfinished writes are lost."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        for thread in self._threads:
            thread.join(timeout=1.0)

    def _push(self, due_at, name, write):
        heapq.heappush(self._due, (due_at, next(self._order), name, write))
        self._changed.notify()

    def _run(self):
        while True:
            job = self._take()
            if job is None:
                return
            name, write = job
            try:
                delay_s = write.handle(
                    claim_store_calls.execute(self._store, name, write.next_call())
                )
            except base.LynxlandingError as e:
                eliot.log_message("claims:outcome_not_written", claim=name, error=str(e))
                delay_s = None
            with self._changed:
                if delay_s is not None:
                    self._push(time.monotonic() + delay_s, name, write)
                    continue
                self._unfinished -= 1
                self._changed.notify_all()
            self._on_written(write)

    def _take(self):
        with self._changed:
            while not self._stopping:
                now = time.monotonic()
                if self._due and self._due[0][0] <= now:
                    _, _, name, write = heapq.heappop(self._due)
                    return name, write
                self._changed.wait(self._due[0][0] - now if self._due else None)
            return None
