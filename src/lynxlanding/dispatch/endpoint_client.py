"""HTTP client for single attempts at an endpoint."""

import dataclasses
import http.client
import time

import urllib3

from lynxlanding.dispatch import body_memory, connection_pool
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import memory_budget, strict_response

READ_SIZE = 65536
# Bodies that are being read by a client without a shared budget, a quarter of the memory that a
# node has.
MAX_HELD_BYTES = 64 << 20
# A complete response makes progress with each of these many bytes. Single bytes may come from an
# endpoint that has stalled.
MIN_PROGRESS_BYTES = 512

_TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class EndpointResponse:
    """Status and headers of a response, with its body as a stream.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers as received.
    chunks : iterator of bytes
        The body. Raises ``errors.endpoint.AttemptError`` if it is truncated.
    record_progress : callable
        Called without arguments after each event of a stream.
    ends_with_connection : bool
        Whether the body has neither a length nor chunks.
    """

    __slots__ = ("_chunks", "_ends_with_connection", "_headers", "_record_progress", "_status")

    def __init__(self, status, headers, chunks, record_progress, ends_with_connection):
        self._status = status
        self._headers = headers
        self._chunks = chunks
        self._record_progress = record_progress
        self._ends_with_connection = ends_with_connection

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
        """Body as it arrives; closing the iterator cancels the request at the endpoint."""
        return self._chunks

    @property
    def ends_with_connection(self):
        """Whether only the end of the connection tells the end of the body."""
        return self._ends_with_connection

    def record_progress(self):
        """Record that a stream has made progress, which only its reader can tell."""
        self._record_progress()


class EndpointClient:
    """Sends attempts to endpoints and never retries.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to endpoints.
    monitor : AttemptMonitor
        Aborts attempts that stall, exceed their deadline or whose caller has left.
    codec : module
        Provides ``decode_response(headers)``.
    stall_tracker : StallTracker
        Notified whenever a response makes progress.
    budget : MemoryBudget, optional
        Memory for bodies that are being read, shared with callers' requests.
    """

    def __init__(self, pool, monitor, codec, stall_tracker, budget=None):
        self._pool = pool
        self._monitor = monitor
        self._codec = codec
        self._stall_tracker = stall_tracker
        if budget is None:
            budget = memory_budget.MemoryBudget(MAX_HELD_BYTES)
        self._body_memory = body_memory.BodyMemory(budget)

    def send(
        self,
        record,
        method,
        target,
        headers,
        body,
        attempt,
        *,
        fresh,
        before_sending,
        is_stream=False,
    ):
        """Send a request and return its ``EndpointResponse`` and ``ResponseMetadata``.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint to send to.
        method, target : str
            HTTP method and request target, which are sent unchanged.
        headers : list of (str, str)
            Headers to send.
        body : bytes
            Complete body.
        attempt : MonitoredAttempt
            Monitored until the response has been read or has failed.
        fresh : bool
            Whether to open a new connection. On a reused one, a late response to an earlier
            request can arrive, and the endpoint can close the idle connection while the request
            is being sent.
        before_sending : callable
            Called without arguments once a connection is established. If it raises, nothing is
            sent.
        is_stream : bool, optional
            Whether the response is a stream of events, whose reader records the progress.

        Raises
        ------
        errors.endpoint.AttemptError
            If no response arrives.
        """
        connection, is_new = self._pool.acquire(record, fresh=fresh)
        attempt.set_socket(connection.sock)
        attempt.record_data(time.monotonic())
        self._monitor.add(attempt)
        try:
            before_sending()
            is_body_sent = _send(connection, method, target, headers, body)
            response = connection.getresponse()
        except _TRANSPORT_ERRORS as e:
            self._discard(attempt, connection)
            raise _attempt_error(attempt, record, e, endpoint_errors.ConnectionBroken) from e
        except BaseException:
            self._discard(attempt, connection)
            raise
        attempt.record_data(time.monotonic())
        received = list(response.headers.iteritems())
        metadata = dataclasses.replace(
            self._codec.decode_response(received), is_first_on_connection=is_new
        )
        is_reusable = is_body_sent and not metadata.closes_connection
        share = self._body_memory.begin()
        chunks = self._read(
            record, connection, response, attempt, metadata, is_reusable, is_stream, share
        )
        # Closing a generator that has not started would not release the connection.
        next(chunks)

        def record_progress():
            self._record_progress(record, attempt)
            connection.guard.allow(connection_pool.MAX_BODY_BYTES)
            share.release()

        ends_with_connection = not response.chunked and response.length_remaining is None
        return (
            EndpointResponse(
                response.status, received, chunks, record_progress, ends_with_connection
            ),
            metadata,
        )

    def _record_progress(self, record, attempt):
        now = time.monotonic()
        attempt.record_data(now)
        self._stall_tracker.record_event(record.endpoint_id, now)

    def _read(self, record, connection, response, attempt, metadata, is_reusable, is_stream, share):
        is_complete = False
        unrecorded_bytes = 0
        try:
            yield b""
            for chunk in strict_response.iterate_body(response, READ_SIZE):
                share.add(len(chunk))
                unrecorded_bytes += len(chunk)
                if not is_stream and unrecorded_bytes >= MIN_PROGRESS_BYTES:
                    unrecorded_bytes = 0
                    self._record_progress(record, attempt)
                yield chunk
            if attempt.reason is not None:
                raise endpoint_errors.AttemptTimedOut(f"{record.address}: {attempt.reason}")
            is_complete = True
        except _TRANSPORT_ERRORS as e:
            raise _attempt_error(attempt, record, e, endpoint_errors.ResponseTruncated) from e
        finally:
            share.end()
            self._monitor.discard(attempt)
            if is_complete and is_reusable and connection.sock is not None:
                self._pool.release(record, connection, metadata.idle_timeout_s)
            else:
                response.close()
                connection.close()

    def _discard(self, attempt, connection):
        self._monitor.discard(attempt)
        connection.close()


def _send(connection, method, target, headers, body):
    """Send a request; return whether all of it was sent."""
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
        # An endpoint may respond and close the connection before it has read a long body.
        return False
    return True


def _attempt_error(attempt, record, error, error_type):
    if attempt.reason is not None:
        return endpoint_errors.AttemptTimedOut(f"{record.address}: {attempt.reason}")
    return error_type(f"{record.address}: {type(error).__name__}: {error}")
