"""Sends one attempt to an endpoint over urllib3."""

import time

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import attempt_monitor, endpoint_response, monitored_connection

CONNECT_TIMEOUT_S = 1.0
READ_SIZE = 65536
MIN_TIMEOUT_S = 0.001


class EndpointClient:
    """Sends attempts; never repeats one by itself.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Pool of kept connections for idempotent attempts, from
        ``monitored_connection.make_manager``.
    monitor : AttemptMonitor
        Aborts attempts that stall, pass their deadline or have lost their caller.
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
        stall_s,
        *,
        fresh_connection,
        has_caller_left=lambda: False,
    ):
        """Send an attempt and return the beginning of its response.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        deadline : float
            Deadline on the monotonic clock, in seconds.
        stall_s : float
            An endpoint that sends nothing for this long is treated as stalled.
        fresh_connection : bool
            Open a new connection. A kept one may have been closed by the endpoint already, and
            then it cannot be told whether a request sent on it has run.
        has_caller_left : callable, optional
            Returns whether the caller has closed its connection.

        Raises
        ------
        errors.endpoint.AttemptError
            If no response arrives.
        """
        wait_s = max(MIN_TIMEOUT_S, min(deadline - time.monotonic(), stall_s))
        options = {
            "body": body,
            "headers": headers,
            "retries": False,
            "redirect": False,
            "preload_content": False,
            "decode_content": False,
            "timeout": urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, wait_s), read=wait_s),
        }
        attempt = attempt_monitor.MonitoredAttempt(deadline, stall_s, has_caller_left)
        self._monitor.add(attempt)
        try:
            with monitored_connection.Attachment(attempt.attach):
                response = self._open(address, method, path, options, fresh_connection)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as e:
            self._monitor.discard(attempt)
            raise endpoint_errors.ConnectionRefused(f"{address}: {e}") from e
        except urllib3.exceptions.HTTPError as e:
            self._monitor.discard(attempt)
            raise _attempt_error(attempt, address, e, endpoint_errors.ConnectionBroken) from e
        except BaseException:
            self._monitor.discard(attempt)
            raise
        lower_headers = {name.lower(): value for name, value in response.headers.items()}
        if attempt.is_attached:
            # From here on the monitor takes the place of the timeout of each read.
            attempt.note_data(time.monotonic())
            attempt.socket.settimeout(None)
        chunks = _read_chunks(response, address, attempt, self._monitor)
        return endpoint_response.EndpointResponse(response.status, lower_headers, chunks)

    def _open(self, address, method, path, options, fresh_connection):
        if not fresh_connection:
            return self._pool.urlopen(method, f"http://{address}{path}", **options)
        host, _, port = address.rpartition(":")
        pool = monitored_connection.MonitoredPool(host, int(port), maxsize=1)
        return pool.urlopen(method, path, **options)


def _attempt_error(attempt, address, error, error_type):
    if attempt.reason is not None:
        return endpoint_errors.AttemptTimedOut(f"{address}: aborted: {attempt.reason}")
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return endpoint_errors.AttemptTimedOut(f"{address}: {error}")
    return error_type(f"{address}: {error}")


def _read_chunks(response, address, attempt, monitor):
    complete = False
    try:
        for chunk in response.stream(READ_SIZE):
            attempt.note_data(time.monotonic())
            yield chunk
        if attempt.reason is not None:
            raise endpoint_errors.AttemptTimedOut(f"{address}: aborted: {attempt.reason}")
        complete = True
    except urllib3.exceptions.HTTPError as e:
        raise _attempt_error(attempt, address, e, endpoint_errors.ResponseTruncated) from e
    finally:
        monitor.discard(attempt)
        # An incomplete response leaves unread bytes on its connection: close it, which also
        # cancels the work at the endpoint.
        if complete:
            response.release_conn()
        else:
            response.close()
