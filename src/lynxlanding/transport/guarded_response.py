"""HTTP responses that are bounded in size and time."""

import io
import time

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import strict_response

# Threads are cooperative (gevent), and the reader of a socket that always has data never waits. It
# pauses after these many bytes, so that other threads run.
MAX_BYTES_IN_A_TURN = 16 * 1024
# After a pause of zero seconds, gevent runs no thread that waits for a socket or a timer.
TURN_PAUSE_S = 0.0001
# To read a chunk takes about as long as to copy some ten thousand bytes. Complete responses, and
# single events of a stream, have some thousand chunks at most.
CHUNK_COST_BYTES = 1024


class ReadGuard:
    """Limits what may still be read from a connection.

    Parameters
    ----------
    max_bytes : int
        Bytes that may be read.
    deadline : float or None
        Monotonic seconds until which they must have been read; None if there is no limit.
    """

    __slots__ = ("_bytes_in_this_turn", "_deadline", "_remaining_bytes")

    def __init__(self, max_bytes, deadline):
        self._remaining_bytes = max_bytes
        self._deadline = deadline
        self._bytes_in_this_turn = 0

    @property
    def deadline(self):
        """Monotonic seconds, or None."""
        return self._deadline

    def allow(self, max_bytes, extra_s=0.0):
        """Replace the number of bytes, and extend the deadline if there is one."""
        self._remaining_bytes = max_bytes
        if self._deadline is not None:
            self._deadline += extra_s

    def count(self, received):
        """Count received bytes, and pause now and then to let other threads run.

        Raises ``ResponseTooLarge`` if there are more than allowed.
        """
        self._remaining_bytes -= received
        if self._remaining_bytes < 0:
            raise endpoint_errors.ResponseTooLarge("the response exceeds its limit")
        self._bytes_in_this_turn += received
        if self._bytes_in_this_turn >= MAX_BYTES_IN_A_TURN:
            self._bytes_in_this_turn = 0
            time.sleep(TURN_PAUSE_S)


class GuardedReader(io.RawIOBase):
    """Raw stream of a socket that keeps to a ``ReadGuard``.

    It bounds every single read from the socket. A reader above it may need any number of them to
    return once, for example to complete a line.

    Parameters
    ----------
    connection_socket : socket
        Socket to read from.
    guard : ReadGuard
        Limits.
    """

    def __init__(self, connection_socket, guard):
        super().__init__()
        self._socket = connection_socket
        self._raw = connection_socket.makefile("rb", buffering=0)
        self._guard = guard

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Read into ``buffer`` and return the number of bytes, 0 at the end of the stream."""
        deadline = self._guard.deadline
        if deadline is not None:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("the response takes too long")
            self._socket.settimeout(remaining_s)
        received = self._raw.readinto(buffer)
        if received:
            self._guard.count(received)
        return received

    def close(self):
        """Close the stream; the socket is closed once its connection is closed as well."""
        if not self.closed:
            self._raw.close()
        super().close()


class GuardedResponse(strict_response.StrictResponse):
    """Strict response that keeps to limits of its head and body.

    Parameters
    ----------
    connection_socket : socket
        Socket to read from.
    guard : ReadGuard
        Limits of the head.
    max_body_bytes : int
        Bytes of the body that may be read.
    body_timeout_s : float
        Time for the body, beyond that of the head, in seconds.
    method : str or None
        Method of the request.
    """

    def __init__(self, connection_socket, guard, max_body_bytes, body_timeout_s, method=None):
        super().__init__(connection_socket, method=method)
        self.fp.close()
        self.fp = io.BufferedReader(GuardedReader(connection_socket, guard))
        self._guard = guard
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s

    def begin(self):
        """Read status line and headers."""
        super().begin()
        self._guard.allow(self._max_body_bytes, self._body_timeout_s)

    def _read_next_chunk_size(self):
        self._guard.count(CHUNK_COST_BYTES)
        return super()._read_next_chunk_size()
