"""urllib3 connections whose socket is known while a response is awaited."""

import threading

import urllib3

_waiting = threading.local()


class MonitoredConnection(urllib3.connection.HTTPConnection):
    """Tells the attempt of the current thread its socket as soon as the request is sent.

    urllib3 hands out the connection only with the response. Without this, an attempt could not be
    aborted while its endpoint queues or generates a whole answer.
    """

    def request(self, *arguments, **options):
        """Send a request."""
        super().request(*arguments, **options)
        attach = getattr(_waiting, "attach", None)
        if attach is not None:
            attach(self.sock)


class MonitoredPool(urllib3.HTTPConnectionPool):
    """Pool of monitored connections."""

    ConnectionCls = MonitoredConnection


def make_manager(**options):
    """Return a ``urllib3.PoolManager`` of monitored connections."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": MonitoredPool}
    return manager


class Attachment:
    """Context in which the current thread's sockets are given to ``attach``."""

    def __init__(self, attach):
        self._attach = attach

    def __enter__(self):
        _waiting.attach = self._attach

    def __exit__(self, *exc_info):
        _waiting.attach = None
