"""Peer transport over HTTP POST."""

import urllib3

from lynxlanding.errors import membership as membership_errors

CONNECT_TIMEOUT_S = 1.0


class HttpTransport:
    """``PeerTransport`` that uses urllib3.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool. Failed requests are not retried, since the next exchange covers them.
    """

    def __init__(self, pool):
        self._pool = pool

    def post(self, address, path, body, content_type, timeout_s):
        """Return the response body; raises ``PeerUnreachable``."""
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}{path}",
                body=body,
                headers={"Content-Type": content_type},
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except urllib3.exceptions.HTTPError as e:
            raise membership_errors.PeerUnreachable(f"{address}{path}: {e}") from e
        if response.status != 200:
            raise membership_errors.PeerUnreachable(f"{address}{path}: status {response.status}")
        return response.data
