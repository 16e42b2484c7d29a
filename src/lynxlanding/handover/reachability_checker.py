"""Checks whether endpoints accept connections, after some have failed."""

import threading
import time

import eliot

from lynxlanding.handover import reachability
from lynxlanding.observability import restarting_thread

UNREACHABLE = "lynxlanding:endpoints:unreachable"
REACHABLE = "lynxlanding:endpoints:reachable"

POLL_INTERVAL_S = 0.05


class ReachabilityChecker:
    """Connects to some endpoints at once when ``Reachability`` asks for it.

    Parameters
    ----------
    state : Reachability
        Decides when to check, and receives the results.
    pool : ConnectionPool
        Provides ``is_reachable``.
    get_records : callable
        Returns the records of the endpoints that take requests.
    on_change : callable
        Called with each ``ReachabilityChange``.
    random_state : random.Random
        Selects the endpoints.
    """

    def __init__(self, state, pool, get_records, on_change, random_state):
        self._state = state
        self._pool = pool
        self._get_records = get_records
        self._on_change = on_change
        self._random_state = random_state
        self._stop = threading.Event()

    def start(self):
        """Start the thread."""
        restarting_thread.start(self._run, "reachability")

    def stop(self):
        """Signal the thread to stop."""
        self._stop.set()

    def _run(self):
        while not self._stop.wait(POLL_INTERVAL_S):
            if self._state.should_check(time.monotonic()):
                self._check()

    def _check(self):
        records = self._get_records()
        count = min(reachability.CHECKED_ENDPOINTS, len(records))
        reached = []
        threads = []
        for record in self._random_state.sample(records, count):
            thread = threading.Thread(target=self._connect, args=(record, reached), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        change = self._state.record_check(len(reached), count, time.monotonic())
        if change is None:
            return
        eliot.log_message(
            message_type=UNREACHABLE if change.is_cut else REACHABLE,
            reached=change.reached,
            checked=change.checked,
            duration_s=round(change.duration_s, 3),
        )
        self._on_change(change)

    def _connect(self, record, reached):
        if self._pool.is_reachable(record):
            reached.append(record.endpoint_id)
