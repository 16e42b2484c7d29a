"""urllib3 connections that report their socket before the response arrives."""

import threading

import urllib3

from lynxlanding.transport import strict_connection

_thread_state = threading.local()


class MonitoredConnection(strict_connection.StrictConnection):
    """Reports its socket to a callback of the current thread as soon as the request is sent.

    urllib3 returns the connection only with the response. Without the callback, an attempt could
    not be aborted while its endpoint queues the request or generates a complete response.
    """

    def request(self, *arguments, **options):
        """Send a request and report the socket."""
        super().request(*arguments, **options)
        attach = getattr(_thread_state, "attach", None)
        if attach is not None:
            attach(self.sock)


class MonitoredPool(urllib3.HTTPConnectionPool):
    """Pool of monitored connections."""

    ConnectionCls = MonitoredConnection


def make_pool_manager(**options):
    """Return a ``urllib3.PoolManager`` of monitored connections."""
    return strict_connection.make_pool_manager(MonitoredPool, **options)


class SocketReporting:
    """Context manager in which the sockets of the current thread are passed to ``attach``.

    Parameters
    ----------
    attach : callable
        Called with the socket after each request.
    """

    def __init__(self, attach):
        self._attach = attach

    def __enter__(self):
        _thread_state.attach = self._attach

    def __exit__(self, *exc_info):
        _thread_state.attach = None
