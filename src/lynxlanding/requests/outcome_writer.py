"""Writes the outcomes of claims in the background."""

import heapq
import itertools
import threading
import time

import eliot

from lynxlanding.errors import base
from lynxlanding.requests import claim_store_calls

# A slow store can delay a call for seconds; with a few workers, other writes go on meanwhile.
WORKER_COUNT = 4


class OutcomeWriter:
    """Worker threads that process a priority queue of writes, ordered by due time.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    on_written : callable
        Called with the ``OutcomeWrite`` when it is finished.
    """

    def __init__(self, store, on_written):
        self._store = store
        self._on_written = on_written
        self._condition = threading.Condition()
        self._queue = []
        self._sequence = itertools.count()
        self._unwritten = 0
        self._stopping = False
        self._threads = []

    @property
    def unwritten(self):
        """Number of outcomes that have not been written to the store yet."""
        return self._unwritten

    def start(self):
        """Start the workers."""
        for number in range(WORKER_COUNT):
            thread = threading.Thread(
                target=self._run, name=f"outcome-writer-{number}", daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def submit(self, name, write):
        """Queue the write of an outcome to the claim with an object name."""
        with self._condition:
            self._unwritten += 1
            self._push(time.monotonic(), name, write)

    def wait_until_written(self, limit_s):
        """Wait up to ``limit_s`` seconds for the writes; return how many remain."""
        with self._condition:
            self._condition.wait_for(lambda: self._unwritten == 0, limit_s)
            return self._unwritten

    def stop(self):
        """Stop the workers; unfinished writes are lost."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        for thread in self._threads:
            thread.join(timeout=1.0)

    def _push(self, due_at, name, write):
        heapq.heappush(self._queue, (due_at, next(self._sequence), name, write))
        self._condition.notify()

    def _run(self):
        while True:
            job = self._take_due()
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
            with self._condition:
                if delay_s is not None:
                    self._push(time.monotonic() + delay_s, name, write)
                    continue
                self._unwritten -= 1
                self._condition.notify_all()
            self._on_written(write)

    def _take_due(self):
        with self._condition:
            while not self._stopping:
                now = time.monotonic()
                if self._queue and self._queue[0][0] <= now:
                    _, _, name, write = heapq.heappop(self._queue)
                    return name, write
                self._condition.wait(self._queue[0][0] - now if self._queue else None)
            return None
