"""Sends one attempt to an endpoint and reads its response."""

import http.client
import time

import urllib3

from lynxlanding.errors import endpoint as endpoint_errors

READ_SIZE = 65536

_FAILURES = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class EndpointResponse:
    """Head of a response, and its body while it arrives.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers as received.
    chunks : iterator of bytes
        The body. Raises ``errors.endpoint.AttemptError`` where it breaks off.
    """

    __slots__ = ("_chunks", "_headers", "_status")

    def __init__(self, status, headers, chunks):
        self._status = status
        self._headers = headers
        self._chunks = chunks

    @property
    def status(self):
        """HTTP status."""
        return self._status

    @property
    def headers(self):
        """Headers as received."""
        return self._headers

    @property
    def chunks(self):
        """Body as it arrives; closing it cancels the work at the endpoint."""
        return self._chunks


class Exchange:
    """Sends attempts; never repeats one by itself.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to endpoints.
    monitor : AttemptMonitor
        Ends attempts that stall, pass their deadline or have lost their caller.
    codec : module
        Offers ``decode_response(headers)``.
    stalls : StallBoard
        Told when an endpoint sends something.
    """

    def __init__(self, pool, monitor, codec, stalls):
        self._pool = pool
        self._monitor = monitor
        self._codec = codec
        self._stalls = stalls

    def open(self, record, method, target, headers, body, attempt, *, fresh):
        """Send a request and return its ``EndpointResponse`` and ``ResponseMarks``.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint.
        method, target : str
            Method and request target, which go out as they are.
        headers : list of (str, str)
            Headers.
        body : bytes
            Whole body.
        attempt : MonitoredAttempt
            Watched while the response is awaited and read.
        fresh : bool
            Whether to open a connection of its own. On a kept one a late response to an earlier
            request can arrive, and an idle close can cross the request.

        Raises
        ------
        errors.endpoint.AttemptError
            If no response arrives.
        """
        connection, _ = self._pool.take(record, fresh=fresh)
        attempt.attach(connection.sock)
        attempt.note_data(time.monotonic())
        self._monitor.add(attempt)
        try:
            is_body_sent = _send(connection, method, target, headers, body)
            response = connection.getresponse()
        except _FAILURES as e:
            self._end(attempt, connection)
            raise _attempt_error(attempt, record, e, endpoint_errors.ConnectionBroken) from e
        except BaseException:
            self._end(attempt, connection)
            raise
        attempt.note_data(time.monotonic())
        received = list(response.headers.iteritems())
        marks = self._codec.decode_response(received)
        is_reusable = is_body_sent and not marks.closes_connection
        chunks = self._read(record, connection, response, attempt, marks, is_reusable)
        return EndpointResponse(response.status, received, chunks), marks

    def _read(self, record, connection, response, attempt, marks, is_reusable):
        is_complete = False
        try:
            for chunk in _iterate(response):
                now = time.monotonic()
                attempt.note_data(now)
                self._stalls.note_event(record.endpoint_id, now)
                yield chunk
            if attempt.reason is not None:
                raise endpoint_errors.AttemptTimedOut(f"{record.address}: {attempt.reason}")
            is_complete = True
        except _FAILURES as e:
            raise _attempt_error(attempt, record, e, endpoint_errors.ResponseTruncated) from e
        finally:
            self._monitor.discard(attempt)
            if is_complete and is_reusable and connection.sock is not None:
                self._pool.give_back(record, connection, marks.idle_timeout_s)
            else:
                response.close()
                connection.close()

    def _end(self, attempt, connection):
        self._monitor.discard(attempt)
        connection.close()


def _send(connection, method, target, headers, body):
    """Send a request; return whether the endpoint took all of it."""
    header_dict = urllib3.HTTPHeaderDict()
    for name, value in headers:
        header_dict.add(name, value)
    if "user-agent" not in header_dict:
        header_dict["User-Agent"] = urllib3.util.SKIP_HEADER
    try:
        connection.request(
            method,
            target,
            body=body or None,
            headers=header_dict,
            preload_content=False,
            decode_content=False,
        )
    except BrokenPipeError:
        # An endpoint may answer and close before it has read a long body.
        return False
    return True


def _iterate(response):
    if response.chunked:
        yield from response.stream(READ_SIZE)
        return
    while True:
        chunk = response.read1(READ_SIZE)
        if not chunk:
            return
        yield chunk


def _attempt_error(attempt, record, error, error_type):
    if attempt.reason is not None:
        return endpoint_errors.AttemptTimedOut(f"{record.address}: {attempt.reason}")
    return error_type(f"{record.address}: {type(error).__name__}: {error}")
