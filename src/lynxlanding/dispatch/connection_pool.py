"""Pool of keep-alive connections to endpoints."""

import collections
import dataclasses
import time

import urllib3
from urllib3.util import wait

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import guarded_connection

# Connecting takes milliseconds, but a lost packet is only retransmitted after a second. Another
# endpoint responds sooner than that.
CONNECT_TIMEOUT_S = 0.4
# A request that may be sent to another endpoint waits for the check.
CHECK_TIMEOUT_S = 0.1
# How long a new connection is watched for being ended at once: two round trips within these bounds.
MIN_OPEN_CHECK_S = 0.01
MAX_OPEN_CHECK_S = 0.05
# Several endpoints are asked at the same time, so one lost packet does not matter.
REACHABILITY_TIMEOUT_S = 0.25
# Endpoints close idle connections, some of them earlier than they announce.
MAX_IDLE_S = 8.0
IDLE_MARGIN_S = 0.5
MAX_IDLE_PER_ENDPOINT = 8
# Body of a complete response, or the bytes from one event of a stream to the next. The node keeps
# a complete response in memory.
MAX_BODY_BYTES = 8 << 20


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    connection: urllib3.connection.HTTPConnection
    expires_at: float


class ConnectionPool:
    """Keeps idle connections for reuse.

    Connections are keyed by endpoint id, because the platform may have reassigned an address to
    another endpoint.

    Parameters
    ----------
    socket_options : list of tuple
        Socket options of every connection.
    on_connected : callable, optional
        Called without arguments whenever a new connection is established.
    """

    def __init__(self, socket_options, on_connected=lambda: None):
        self._socket_options = socket_options
        self._on_connected = on_connected
        self._idle = {}

    def acquire(self, record, *, fresh):
        """Return a connection to an endpoint and whether it is a new one.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint to connect to.
        fresh : bool
            Whether to open a new connection even if an idle one exists.

        Raises
        ------
        errors.endpoint.ConnectionRefused
            If no connection is established.
        """
        if not fresh:
            idle = self._acquire_idle(record.endpoint_id)
            if idle is not None:
                return idle, False
        return self._connect(record, CONNECT_TIMEOUT_S), True

    def is_listening(self, record):
        """Return whether an endpoint listens at its address.

        It counts as listening unless the address refuses connections, or something accepts them
        only to end them at once, as a supervisor or an address translation does that holds the
        port of an endpoint that has ended. Silence may be due to the network.
        """
        begun_at = time.monotonic()
        try:
            connection = self._connect(record, CHECK_TIMEOUT_S)
        except (endpoint_errors.NotListening, endpoint_errors.ConnectionEndedAtOnce):
            return False
        except endpoint_errors.ConnectionRefused:
            return True
        round_trip_s = time.monotonic() - begun_at
        wait_s = min(max(2 * round_trip_s, MIN_OPEN_CHECK_S), MAX_OPEN_CHECK_S)
        # Nothing is sent, so an endpoint that listens has no reason to send or to close anything.
        is_ended = wait.wait_for_read(connection.sock, timeout=wait_s)
        connection.close()
        return not is_ended

    def is_reachable(self, record):
        """Return whether a new connection to an endpoint can be established."""
        return self._try_connect(record, REACHABILITY_TIMEOUT_S) is None

    def _try_connect(self, record, timeout_s):
        """Open a connection and close it again; return the ``ConnectionRefused`` or None."""
        try:
            self._connect(record, timeout_s).close()
        except endpoint_errors.ConnectionRefused as e:
            return e
        return None

    def _connect(self, record, timeout_s):
        host, _, port = record.address.rpartition(":")
        connection = guarded_connection.GuardedConnection(
            host, int(port), timeout=timeout_s, socket_options=self._socket_options
        )
        connection.max_body_bytes = MAX_BODY_BYTES
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as e:
            connection.close()
            error_type = _connect_error_type(e)
            raise error_type(f"{record.address}: {e}") from e
        self._on_connected()
        # AttemptMonitor enforces timeouts from here on. The connection's own timeout is cleared as
        # well, because urllib3 sets it on the socket again with each request.
        connection.timeout = None
        connection.sock.settimeout(None)
        return connection

    def release(self, record, connection, idle_timeout_s):
        """Return a connection to the pool after a complete response."""
        usable_s = MAX_IDLE_S
        if idle_timeout_s is not None:
            usable_s = min(usable_s, idle_timeout_s - IDLE_MARGIN_S)
        queue = self._idle.setdefault(record.endpoint_id, collections.deque())
        if usable_s <= 0 or len(queue) >= MAX_IDLE_PER_ENDPOINT or connection.sock is None:
            connection.close()
            return
        queue.append(_IdleConnection(connection, time.monotonic() + usable_s))

    def has_idle(self, endpoint_id):
        """Return whether an idle connection to the endpoint is likely to be usable."""
        queue = self._idle.get(endpoint_id)
        try:
            return bool(queue) and queue[-1].expires_at > time.monotonic()
        except IndexError:
            # Another thread has taken the last one since.
            return False

    def close_endpoint(self, endpoint_id):
        """Close the idle connections to an endpoint."""
        for idle in self._idle.pop(endpoint_id, ()):
            idle.connection.close()

    def close_expired(self, now):
        """Close the connections whose idle time has expired."""
        for endpoint_id, queue in list(self._idle.items()):
            while queue and queue[0].expires_at <= now:
                queue.popleft().connection.close()
            if not queue:
                del self._idle[endpoint_id]

    def _acquire_idle(self, endpoint_id):
        queue = self._idle.get(endpoint_id)
        now = time.monotonic()
        while queue:
            idle = queue.pop()
            sock = idle.connection.sock
            # An idle socket is readable if the peer has closed the connection or has sent bytes
            # that belong to no request.
            is_usable = now < idle.expires_at and sock is not None
            if is_usable and not wait.wait_for_read(sock, timeout=0):
                return idle.connection
            idle.connection.close()
        return None


def _connect_error_type(error):
    """Return the type of ``ConnectionRefused`` for an error of the library."""
    causes = (error, error.__cause__)
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return endpoint_errors.NotListening
    if any(isinstance(cause, ConnectionResetError) for cause in causes):
        return endpoint_errors.ConnectionEndedAtOnce
    return endpoint_errors.ConnectionRefused
