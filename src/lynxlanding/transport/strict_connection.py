"""urllib3 connections whose responses are refused unless they are whole."""

import urllib3

from lynxlanding.transport import strict_response


class StrictConnection(urllib3.connection.HTTPConnection):
    """Connection that reads each response as a ``StrictResponse``."""

    response_class = strict_response.StrictResponse

    def request(self, method, url, **options):
        """Send a request; the body of its response is not decompressed, so its size is bounded."""
        options["decode_content"] = False
        super().request(method, url, **options)


class StrictPool(urllib3.HTTPConnectionPool):
    """Pool of strict connections."""

    ConnectionCls = StrictConnection


def make_pool_manager(pool_class=StrictPool, **options):
    """Return a ``urllib3.PoolManager`` of strict connections.

    Parameters
    ----------
    pool_class : type, optional
        Pool of connections that are derived from ``StrictConnection``.
    **options
        Options of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager
