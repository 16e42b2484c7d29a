"""Aborts attempts whose endpoint stalls, whose deadline passes or whose caller has left."""

import threading
import time

CHECK_INTERVAL_S = 0.25


class MonitoredAttempt:
    """One attempt whose response is being read.

    Parameters
    ----------
    abort : callable
        Breaks the connection to the endpoint, so that the reader fails.
    deadline : float
        Deadline in seconds of the monotonic clock.
    stall_timeout_s : float
        Longest time without data.
    has_caller_left : callable
        Returns whether the caller has closed its connection.
    """

    __slots__ = (
        "_abort",
        "_deadline",
        "_has_caller_left",
        "_stall_timeout_s",
        "last_data_at",
        "reason",
    )

    def __init__(self, abort, deadline, stall_timeout_s, has_caller_left):
        self._abort = abort
        self._deadline = deadline
        self._stall_timeout_s = stall_timeout_s
        self._has_caller_left = has_caller_left
        self.last_data_at = time.monotonic()
        self.reason = None

    def check(self, now):
        """Abort the attempt if it must end; ``reason`` then says why."""
        if self.reason is not None:
            return
        if now > self._deadline:
            self.reason = "deadline"
        elif now - self.last_data_at > self._stall_timeout_s:
            self.reason = "stalled"
        elif self._has_caller_left():
            self.reason = "caller left"
        if self.reason is not None:
            self._abort()


class AttemptMonitor:
    """Checks all attempts from one thread.

    A timeout on each read would create and cancel a timer for each token, which costs as much
    as reading it; one check of all attempts four times a second costs next to nothing.
    """

    def __init__(self):
        self._attempts = set()

    def start(self):
        """Start the checking thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, attempt):
        """Watch an attempt."""
        self._attempts.add(attempt)

    def discard(self, attempt):
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    def check_all(self, now):
        """Check every attempt at the monotonic time ``now``."""
        for attempt in list(self._attempts):
            attempt.check(now)

    def _run(self):
        while True:
            time.sleep(CHECK_INTERVAL_S)
            self.check_all(time.monotonic())
