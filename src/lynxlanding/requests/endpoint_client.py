"""Sends attempts to endpoints with urllib3."""

import time

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import attempt_monitor, endpoint_response, monitored_connection
from lynxlanding.transport import strict_response

CONNECT_TIMEOUT_S = 1.0
READ_SIZE_BYTES = 65536
MIN_TIMEOUT_S = 0.001


class EndpointClient:
    """Sends attempts without retries.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Pool of keep-alive connections for idempotent attempts, from
        ``monitored_connection.make_pool_manager``.
    monitor : AttemptMonitor
        Aborts attempts that stall, exceed their deadline or have lost their caller.
    """

    def __init__(self, pool, monitor):
        self._pool = pool
        self._monitor = monitor

    def send(
        self,
        address,
        method,
        path,
        headers,
        body,
        deadline,
        stall_timeout_s,
        *,
        fresh_connection,
        has_caller_left=lambda: False,
    ):
        """Send an attempt and return the response, whose body is still to be read.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        deadline : float
            Deadline on the monotonic clock, in seconds.
        stall_timeout_s : float
            Longest time without data before the endpoint counts as stalled, in seconds.
        fresh_connection : bool
            Open a new connection. The endpoint may just have closed a pooled one, and then it is
            unknown whether a request sent on it has been executed.
        has_caller_left : callable, optional
            Returns whether the caller has closed its connection.

        Raises
        ------
        errors.endpoint.AttemptError
            If the attempt fails before the response headers arrive.
        """
        wait_s = max(MIN_TIMEOUT_S, min(deadline - time.monotonic(), stall_timeout_s))
        options = {
            "body": body,
            "headers": headers,
            "retries": False,
            "redirect": False,
            "preload_content": False,
            "decode_content": False,
            "timeout": urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, wait_s), read=wait_s),
        }
        attempt = attempt_monitor.MonitoredAttempt(deadline, stall_timeout_s, has_caller_left)
        self._monitor.add(attempt)
        try:
            with monitored_connection.SocketReporting(attempt.set_socket):
                response = self._open(address, method, path, options, fresh_connection)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as e:
            self._monitor.discard(attempt)
            raise endpoint_errors.ConnectionRefused(f"{address}: {e}") from e
        except urllib3.exceptions.HTTPError as e:
            self._monitor.discard(attempt)
            raise _convert_error(attempt, address, e, endpoint_errors.ConnectionBroken) from e
        except BaseException:
            self._monitor.discard(attempt)
            raise
        lower_headers = {name.lower(): value for name, value in response.headers.items()}
        if attempt.has_socket:
            # From here on, the monitor enforces the timeouts instead of the socket.
            attempt.record_data(time.monotonic())
            attempt.socket.settimeout(None)
        chunks = _read_chunks(response, address, attempt, self._monitor)
        # Closing a generator that has not started would not release the connection.
        next(chunks)
        return endpoint_response.EndpointResponse(response.status, lower_headers, chunks)

    def _open(self, address, method, path, options, fresh_connection):
        if not fresh_connection:
            return self._pool.urlopen(method, f"http://{address}{path}", **options)
        host, _, port = address.rpartition(":")
        pool = monitored_connection.MonitoredPool(host, int(port), maxsize=1)
        return pool.urlopen(method, path, **options)


def _convert_error(attempt, address, error, error_type):
    if attempt.reason is not None:
        return endpoint_errors.AttemptTimedOut(f"{address}: aborted: {attempt.reason}")
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return endpoint_errors.AttemptTimedOut(f"{address}: {error}")
    return error_type(f"{address}: {error}")


def _read_chunks(response, address, attempt, monitor):
    complete = False
    try:
        yield b""
        for chunk in strict_response.iterate_body(response, READ_SIZE_BYTES):
            attempt.record_data(time.monotonic())
            yield chunk
        if attempt.reason is not None:
            raise endpoint_errors.AttemptTimedOut(f"{address}: aborted: {attempt.reason}")
        complete = True
    except urllib3.exceptions.HTTPError as e:
        raise _convert_error(attempt, address, e, endpoint_errors.ResponseTruncated) from e
    finally:
        monitor.discard(attempt)
        # An incomplete response leaves unread bytes on the connection. Closing it also cancels the
        # work at the endpoint.
        if complete:
            response.release_conn()
        else:
            response.close()
