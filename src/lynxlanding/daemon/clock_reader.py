"""Reads the monotonic clocks of other nodes."""

import json

import urllib3

from lynxlanding.daemon import clock_handler
from lynxlanding.errors import membership as membership_errors

TIMEOUT_S = 1.0


class HttpClockReader:
    """Client of ``ClockHandler``.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, pool):
        self._pool = pool

    def read(self, address):
        """Return identity and time of a node's clock; raises ``PeerUnreachable``."""
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}{clock_handler.PATH}",
                retries=False,
                timeout=urllib3.Timeout(total=TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as e:
            raise membership_errors.PeerUnreachable(f"{address}: {e}") from e
        if response.status != 200:
            raise membership_errors.PeerUnreachable(f"{address}: status {response.status}")
        try:
            document = json.loads(response.data)
            return str(document["clock"]), float(document["now"])
        except (KeyError, TypeError, ValueError) as e:
            raise membership_errors.PeerUnreachable(f"{address}: malformed clock: {e!r}") from e
