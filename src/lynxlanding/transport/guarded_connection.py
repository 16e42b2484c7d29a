"""urllib3 connections whose responses are bounded in size and time."""

import time

import urllib3

from lynxlanding.transport import guarded_response, response_head, strict_connection


class GuardedConnection(strict_connection.StrictConnection):
    """Strict connection with a ``ReadGuard`` for each response.

    The read timeout of the connection bounds the whole head of a response instead of each read.
    Without a read timeout there is no limit in time.
    """

    max_body_bytes = 1 << 20
    # Time for the body, beyond the read timeout.
    body_timeout_s = 0.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._guard = None

    @property
    def guard(self):
        """``ReadGuard`` of the last response."""
        return self._guard

    def response_class(self, connection_socket, method=None):
        """Return the response that ``http.client`` reads, with a guard of its own."""
        deadline = None if self.timeout is None else time.monotonic() + self.timeout
        self._guard = guarded_response.ReadGuard(response_head.MAX_HEAD_BYTES, deadline)
        return guarded_response.GuardedResponse(
            connection_socket, self._guard, self.max_body_bytes, self.body_timeout_s, method
        )


def make_pool_manager(max_body_bytes, body_timeout_s=0.0, **options):
    """Return a ``urllib3.PoolManager`` of guarded connections.

    Parameters
    ----------
    max_body_bytes : int
        Size of a response's body.
    body_timeout_s : float
        Time for the body beyond the read timeout, in seconds.
    **options
        Options of ``urllib3.PoolManager``.
    """

    class Connection(GuardedConnection):
        pass

    class Pool(urllib3.HTTPConnectionPool):
        ConnectionCls = Connection

    Connection.max_body_bytes = max_body_bytes
    Connection.body_timeout_s = body_timeout_s
    return strict_connection.make_pool_manager(Pool, **options)
