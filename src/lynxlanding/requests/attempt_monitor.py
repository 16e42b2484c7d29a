"""Aborts attempts that stall, exceed their deadline or have lost their caller."""

import socket
import threading
import time

from urllib3.util import wait

from lynxlanding.observability import restarting_thread

CHECK_INTERVAL_S = 0.1
# A check that is delayed by more than this factor shows that the whole process was paused. Received
# data may then be unread, so that the silence says nothing about the endpoint.
LATE_CHECK_FACTOR = 4.0

DEADLINE = "deadline"
CALLER_LEFT = "caller left"
STALLED = "stalled"
CANCELLED = "cancelled"


def _always():
    return True


def _never():
    return False


class MonitoredAttempt:
    """An attempt that waits for its response or is reading it.

    Parameters
    ----------
    deadline : float
        Deadline in seconds of the monotonic clock.
    stall_timeout_s : float
        Longest time without data, in seconds.
    has_caller_left : callable
        Returns whether the caller has closed its connection.
    may_abort : callable, optional
        Called when the attempt has stalled; if it returns False, the attempt goes on waiting.
    is_endpoint_stalled : callable, optional
        Returns whether other attempts show that the endpoint has stalled, which shortens the
        wait for data.
    """

    __slots__ = (
        "_deadline",
        "_has_caller_left",
        "_is_endpoint_stalled",
        "_is_finished",
        "_last_data_at",
        "_lock",
        "_may_abort",
        "_reason",
        "_socket",
        "_stall_timeout_s",
    )

    def __init__(
        self,
        deadline,
        stall_timeout_s,
        has_caller_left,
        may_abort=_always,
        is_endpoint_stalled=_never,
    ):
        self._deadline = deadline
        self._stall_timeout_s = stall_timeout_s
        self._has_caller_left = has_caller_left
        self._last_data_at = time.monotonic()
        self._may_abort = may_abort
        self._is_endpoint_stalled = is_endpoint_stalled
        self._is_finished = False
        self._lock = threading.Lock()
        self._reason = None
        self._socket = None

    @property
    def reason(self):
        """Why the attempt was aborted, or None."""
        return self._reason

    @property
    def is_finished(self):
        """Whether the attempt has ended."""
        return self._is_finished

    @property
    def has_socket(self):
        """Whether the socket of the connection to the endpoint has been set."""
        return self._socket is not None

    @property
    def socket(self):
        """Socket of the connection to the endpoint."""
        return self._socket

    def set_socket(self, connection_socket):
        """Set the socket that is shut down to abort the attempt."""
        self._socket = connection_socket

    def shorten_deadline(self, deadline):
        """Set an earlier deadline, in seconds of the monotonic clock."""
        self._deadline = min(self._deadline, deadline)

    def record_data(self, now):
        """Record that data arrived at the monotonic time ``now``."""
        self._last_data_at = now

    def set_stall_timeout(self, stall_timeout_s):
        """Change the longest time without data, in seconds."""
        self._stall_timeout_s = stall_timeout_s

    def finish(self):
        """Record that the attempt has ended; another request may use the socket from now on."""
        with self._lock:
            self._is_finished = True

    def cancel(self):
        """Abort the attempt because another one has answered."""
        self._abort(CANCELLED)

    def check(self, now):
        """Abort the attempt if necessary; ``reason`` then says why."""
        if self._reason is not None or self._socket is None:
            return
        reason = None
        if now > self._deadline:
            reason = DEADLINE
        elif self._has_caller_left():
            reason = CALLER_LEFT
        elif self._is_stalled(now) and self._may_abort():
            reason = STALLED
        if reason is not None:
            self._abort(reason)

    def _is_stalled(self, now):
        if now - self._last_data_at <= self._stall_timeout_s and not self._is_endpoint_stalled():
            return False
        if self._socket.fileno() < 0:
            # The response has ended in the meantime and its connection is closed.
            return False
        return not wait.wait_for_read(self._socket, timeout=0)

    def _abort(self, reason):
        with self._lock:
            if self._is_finished:
                # It has ended during the check.
                return
            self._reason = reason
            if self._socket is None:
                # It is still connecting; nothing is sent once there is a reason.
                return
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The connection is already closed.
                return


class AttemptMonitor:
    """Checks all attempts periodically in one thread.

    A timeout on each read would start and cancel a timer for each token, which costs as much as
    reading the token. Checking all attempts several times a second costs very little.

    Parameters
    ----------
    interval_s : float
        Time between two checks, in seconds.
    """

    def __init__(self, interval_s=CHECK_INTERVAL_S):
        self._interval_s = interval_s
        self._attempts = set()

    def start(self):
        """Start the thread."""
        restarting_thread.start(self._run, "attempts")

    def add(self, attempt):
        """Start monitoring an attempt."""
        self._attempts.add(attempt)

    def discard(self, attempt):
        """Stop monitoring an attempt, which has ended."""
        self._attempts.discard(attempt)
        attempt.finish()

    def shorten_deadlines(self, deadline):
        """Set an earlier deadline for every attempt."""
        for attempt in list(self._attempts):
            attempt.shorten_deadline(deadline)

    def check_all(self, now):
        """Check every attempt at the monotonic time ``now``."""
        for attempt in list(self._attempts):
            attempt.check(now)

    def _run(self):
        last_at = time.monotonic()
        while True:
            time.sleep(self._interval_s)
            now = time.monotonic()
            is_late = now - last_at > LATE_CHECK_FACTOR * self._interval_s
            last_at = now
            if not is_late:
                self.check_all(now)
