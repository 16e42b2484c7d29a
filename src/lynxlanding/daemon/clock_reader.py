"""HTTP client that reads the monotonic clocks of other nodes."""

import urllib3

from lynxlanding.daemon import clock_handler
from lynxlanding.errors import membership as membership_errors
from lynxlanding.transport import json_document

REQUEST_TIMEOUT_S = 1.0


class HttpClockReader:
    """Client of the ``ClockHandler`` of other nodes.

    Parameters
    ----------
    pool : urllib3.PoolManager
        HTTP connection pool for requests to other nodes.
    """

    def __init__(self, pool):
        self._pool = pool

    def read(self, address):
        """Return the identity and the current time of the clock of a node.

        Raises
        ------
        PeerUnreachable
            The node did not respond with a valid document.
        """
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}{clock_handler.PATH}",
                retries=False,
                timeout=urllib3.Timeout(total=REQUEST_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as e:
            raise membership_errors.PeerUnreachable(f"{address}: {e}") from e
        if response.status != 200:
            raise membership_errors.PeerUnreachable(f"{address}: status {response.status}")
        try:
            document = json_document.decode(response.data)
            return str(document["clock"]), float(document["now"])
        except (KeyError, TypeError, ValueError) as e:
            raise membership_errors.PeerUnreachable(
                f"{address}: malformed clock response: {e!r}"
            ) from e
