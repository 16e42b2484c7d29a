"""Non-blocking log output with a bounded rate and queue size."""

import collections
import errno
import json
import os
import threading
import time

import eliot

from lynxlanding.observability import restarting_thread

# Lines are dropped once this many bytes wait for a slow reader of the output.
MAX_QUEUED_BYTES = 1 << 20
# Lines above this rate are dropped and counted; a burst of one second of lines is accepted.
MAX_LINES_PER_S = 400
# Interval at which writing is retried while the pipe is full.
WRITE_RETRY_INTERVAL_S = 0.05
LINES_DROPPED = "lynxlanding:log:dropped"


class BoundedLog:
    """Eliot destination that queues lines and writes them from a background thread.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to, by default standard output.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, descriptor=1, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._lines = collections.deque()
        self._queued_bytes = 0
        self._has_lines = threading.Event()
        self._unreported_drops = 0
        self._dropped_total = 0
        self._tokens = float(MAX_LINES_PER_S)
        self._refilled_at = clock()

    @property
    def dropped_total(self):
        """Number of lines dropped since the log was created."""
        return self._dropped_total

    def start(self):
        """Register as an eliot destination and start the writer thread."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)
        restarting_thread.start(self._run, "log")

    def __call__(self, message):
        """Queue a message, or drop it if the rate or the queue size is exceeded."""
        if not self._try_admit():
            self._unreported_drops += 1
            self._dropped_total += 1
            return
        self._enqueue(message)
        self._has_lines.set()

    def flush(self, timeout_s):
        """Write the queued lines, for at most ``timeout_s`` seconds."""
        deadline = self._clock() + timeout_s
        while self._lines and self._clock() < deadline:
            if not self._write_batch():
                time.sleep(WRITE_RETRY_INTERVAL_S)

    def _try_admit(self):
        now = self._clock()
        self._tokens = min(
            float(MAX_LINES_PER_S), self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 or self._queued_bytes >= MAX_QUEUED_BYTES:
            return False
        self._tokens -= 1
        return True

    def _enqueue(self, message):
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        self._lines.append(line)
        self._queued_bytes += len(line)

    def _run(self):
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                if not self._write_batch():
                    time.sleep(WRITE_RETRY_INTERVAL_S)

    def _write_batch(self):
        """Write all queued lines at once; return whether any progress was made."""
        if self._unreported_drops:
            drops = self._unreported_drops
            self._unreported_drops = 0
            self._enqueue({"message_type": LINES_DROPPED, "timestamp": time.time(), "lines": drops})
        batch = b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, batch)
        except BlockingIOError:
            written = 0
        except OSError as e:
            if e.errno in (errno.EPIPE, errno.EBADF):
                # The reader has closed the pipe, so the lines are discarded.
                self._queued_bytes -= len(batch)
                return True
            raise
        self._queued_bytes -= written
        if written < len(batch):
            self._lines.appendleft(batch[written:])
        return written > 0
