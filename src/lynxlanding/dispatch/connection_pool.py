"""Kept connections to endpoints."""

import collections
import dataclasses
import time

import urllib3
from urllib3.util import wait

from lynxlanding.errors import endpoint as endpoint_errors

# Connecting takes milliseconds; a lost packet costs a second, and then another endpoint is sooner.
CONNECT_TIMEOUT_S = 0.4
# Endpoints close idle connections, some earlier than they announce.
MAX_IDLE_S = 2.0
IDLE_MARGIN_S = 0.5
MAX_KEPT = 8


@dataclasses.dataclass(slots=True)
class _Kept:
    connection: urllib3.connection.HTTPConnection
    unusable_at: float


class ConnectionPool:
    """Connections by endpoint id; an address alone may belong to another endpoint by now.

    Parameters
    ----------
    socket_options : list of tuple
        Set on each connection.
    """

    def __init__(self, socket_options):
        self._socket_options = socket_options
        self._kept = {}

    def take(self, record, *, fresh):
        """Return a connection to an endpoint and whether it is a new one.

        Raises
        ------
        errors.endpoint.ConnectionRefused
            If no connection is established.
        """
        if not fresh:
            kept = self._take_kept(record.endpoint_id)
            if kept is not None:
                return kept, False
        host, _, port = record.address.rpartition(":")
        connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S, socket_options=self._socket_options
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as e:
            connection.close()
            raise endpoint_errors.ConnectionRefused(f"{record.address}: {e}") from e
        # From here on the monitor of attempts takes the place of timeouts. urllib3 sets the
        # connection's timeout on the socket again with each request.
        connection.timeout = None
        connection.sock.settimeout(None)
        return connection, True

    def give_back(self, record, connection, idle_timeout_s):
        """Keep a connection whose response was complete."""
        usable_s = MAX_IDLE_S
        if idle_timeout_s is not None:
            usable_s = min(usable_s, idle_timeout_s - IDLE_MARGIN_S)
        queue = self._kept.setdefault(record.endpoint_id, collections.deque())
        if usable_s <= 0 or len(queue) >= MAX_KEPT or connection.sock is None:
            connection.close()
            return
        queue.append(_Kept(connection, time.monotonic() + usable_s))

    def forget(self, endpoint_id):
        """Close the connections to an endpoint."""
        for kept in self._kept.pop(endpoint_id, ()):
            kept.connection.close()

    def close_idle(self, now):
        """Close the connections that have been idle for too long."""
        for endpoint_id, queue in list(self._kept.items()):
            while queue and queue[0].unusable_at <= now:
                queue.popleft().connection.close()
            if not queue:
                del self._kept[endpoint_id]

    def _take_kept(self, endpoint_id):
        queue = self._kept.get(endpoint_id)
        now = time.monotonic()
        while queue:
            kept = queue.pop()
            sock = kept.connection.sock
            # Bytes on an idle connection belong to no request, and the end of the connection is
            # readable as well.
            is_usable = now < kept.unusable_at and sock is not None
            if is_usable and not wait.wait_for_read(sock, timeout=0):
                return kept.connection
            kept.connection.close()
        return None
