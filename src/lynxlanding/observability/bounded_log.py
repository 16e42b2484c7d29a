"""Log lines that never hold up the process and have a bounded volume."""

import collections
import errno
import json
import os
import threading
import time

import eliot

from lynxlanding.observability import guarded_thread

# Bytes that wait for a slow reader of standard output.
MAX_WAITING_BYTES = 1 << 20
# Above this rate lines are dropped and counted; a second's burst is let through.
MAX_LINES_PER_S = 400
WRITE_PAUSE_S = 0.05
DROPPED = "lynxlanding:log:dropped"


class BoundedLog:
    """Eliot destination with a bounded queue and a writer of its own.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, descriptor=1, clock=time.monotonic):
        self._descriptor = descriptor
        self._clock = clock
        self._lines = collections.deque()
        self._waiting_bytes = 0
        self._has_lines = threading.Event()
        self._dropped = 0
        self._dropped_total = 0
        self._tokens = float(MAX_LINES_PER_S)
        self._refilled_at = clock()

    @property
    def dropped_total(self):
        """Lines dropped since the start."""
        return self._dropped_total

    def start(self):
        """Take the lines of eliot and write them from a thread of its own."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)
        guarded_thread.start(self._run, "log")

    def __call__(self, message):
        """Queue a message or drop it."""
        if not self._admit():
            self._dropped += 1
            self._dropped_total += 1
            return
        self._queue(message)
        self._has_lines.set()

    def flush(self, limit_s):
        """Write what waits, for at most ``limit_s`` seconds."""
        end = self._clock() + limit_s
        while self._lines and self._clock() < end:
            if not self._write_some():
                time.sleep(WRITE_PAUSE_S)

    def _admit(self):
        now = self._clock()
        self._tokens = min(
            float(MAX_LINES_PER_S), self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 or self._waiting_bytes >= MAX_WAITING_BYTES:
            return False
        self._tokens -= 1
        return True

    def _queue(self, message):
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def _run(self):
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                if not self._write_some():
                    time.sleep(WRITE_PAUSE_S)

    def _write_some(self):
        """Write one batch; return whether the reader took any of it."""
        if self._dropped:
            dropped = self._dropped
            self._dropped = 0
            self._queue({"message_type": DROPPED, "timestamp": time.time(), "lines": dropped})
        batch = b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, batch)
        except BlockingIOError:
            written = 0
        except OSError as e:
            if e.errno in (errno.EPIPE, errno.EBADF):
                # Nobody reads the log any more.
                self._waiting_bytes -= len(batch)
                return True
            raise
        self._waiting_bytes -= written
        if written < len(batch):
            self._lines.appendleft(batch[written:])
        return written > 0
