"""Connection of a caller, within limits on memory, time and work per turn of the event loop."""

import socket
import struct
import time

from waitress import channel

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import caller_guard, connection_bound, error_task, strict_parser
from lynxlanding.transport import memory_budget

# Requests that are parsed in one turn of the event loop.
MAX_REQUESTS_PER_TURN = 8
# After a refusal the rest of the request is read and discarded, up to these bounds: closing a
# connection with unread data resets it, and the reset can hide the refusal. The bytes cover one
# body of the usual limit.
LINGER_S = 2.0
MAX_LINGER_BYTES = 5 << 20
# An answer that was sent as a whole is given this long to arrive, also if others need the place.
ANSWER_LINGER_S = 0.2
LINGER_READ_BYTES = 64 << 10
# An answer of which nothing could be sent for this long gives its place up if others need it.
UNREAD_S = 2.0
NO_MEMORY_RETRY_AFTER_S = 1.0
# Unsent data is dropped, and the other side sees a reset.
_NO_LINGER = struct.pack("ii", 1, 0)

_ERROR_REASONS = {
    413: caller_guard.BODY_TOO_LARGE,
    431: caller_guard.HEADERS_TOO_LARGE,
}


class StreamingChannel(channel.HTTPChannel):
    """Channel with JSON protocol errors and a fast path for small writes.

    The inherited ``write_soon`` takes a lock and goes through an output buffer for each token.
    Threads are cooperative (gevent), so no other thread can run between the check of the buffer
    and the non-blocking send. Data therefore go directly to the socket while the buffer is empty.

    What has been received and cannot be parsed in this turn of the event loop, or because earlier
    requests of the connection still run, stays in ``_pending``; nothing more is read until then.
    """

    parser_class = strict_parser.StrictParser
    task_class = strict_parser.KeepAliveTask
    error_task_class = error_task.JsonErrorTask

    _pending = b""
    _is_refused = False
    _ends_early = False
    _linger_until = None
    _lingered_bytes = 0
    _head_started_at = None
    _input_share = None
    _fixed_bytes = 0
    _loose_bytes = 0
    _output_share = None
    _output_bytes = 0
    _seen_activity = None
    _quiet_since = 0.0

    @property
    def activity(self):
        """``Activity`` of the connection."""
        if self._linger_until is not None:
            lingered_s = time.monotonic() - (self._linger_until - LINGER_S)
            if self._ends_early and lingered_s < ANSWER_LINGER_S:
                return connection_bound.Activity.BUSY
            return connection_bound.Activity.REFUSED
        if self.requests or self.total_outbufs_len or self.close_when_flushed:
            is_quiet = self.total_outbufs_len and self.last_activity == self._seen_activity
            if is_quiet and time.monotonic() - self._quiet_since > UNREAD_S:
                return connection_bound.Activity.UNREAD
            return connection_bound.Activity.BUSY
        if self.request is not None or self._pending:
            return connection_bound.Activity.ARRIVING
        return connection_bound.Activity.IDLE

    @property
    def is_ending(self):
        """Whether the connection closes after what it still has to send."""
        return self._linger_until is not None or self.close_when_flushed or self.will_close

    def has_unread_data(self):
        """Return whether data have arrived that the next turn of the event loop receives."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def readable(self):
        """Return whether more data should be received."""
        if self._linger_until is not None:
            return not self.will_close
        return not (
            self.total_outbufs_len
            or self._pending
            or self._is_refused
            or len(self.requests) > self.adj.channel_request_lookahead
            or self.will_close
            or self.close_when_flushed
        )

    def writable(self):
        """Return whether ``handle_write`` has anything to do once the socket takes data."""
        return (
            self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
            or (self._pending and len(self.requests) <= self.adj.channel_request_lookahead)
        )

    def handle_read(self):
        """Receive data; those after a refusal are discarded."""
        is_lingering = self._linger_until is not None
        try:
            data = self.recv(LINGER_READ_BYTES if is_lingering else self.adj.recv_bytes)
        except BlockingIOError:
            # The event belongs to a closed connection whose descriptor this one has taken over.
            return
        except OSError:
            self.handle_close()
            return
        if not data:
            self.connected = False
            return
        if is_lingering:
            self.server.has_partial_data = True
            self._lingered_bytes += len(data)
            if self._lingered_bytes > MAX_LINGER_BYTES:
                self.handle_close()
            return
        self.last_activity = time.time()
        self.received(data)

    def received(self, data):
        """Parse requests, as many as one turn of the event loop allows, and start them."""
        if self.will_close or self.close_when_flushed or self._is_refused:
            self._pending = b""
            return False
        if self._pending:
            data = self._pending + data
        with self.requests_lock:
            rest = self._parse(data)
        # Most requests arrive as a whole, so that these attributes keep their values.
        if rest or self._pending:
            self._pending = rest
        request = self.request
        if rest or request is not None:
            self.server.has_partial_data = True
        if request is None or request.headers_finished:
            if self._head_started_at is not None:
                self._head_started_at = None
        elif self._head_started_at is None:
            self._head_started_at = time.monotonic()
        self._count_input()
        return True

    def _parse(self, data):
        """Parse requests and return what is left of the data."""
        for _ in range(MAX_REQUESTS_PER_TURN):
            if not data or len(self.requests) > self.adj.channel_request_lookahead:
                break
            request = self.request
            if request is None:
                request = self.request = self.parser_class(self.adj)
                request.limits = self.server.guard.get_limits()
            had_headers = request.headers_finished
            consumed = request.received(data)
            data = data[consumed:] if consumed < len(data) else b""
            if not request.completed:
                if request.expect_continue and request.headers_finished:
                    self._allow_body()
                if had_headers:
                    break
                continue
            if self.sent_continue:
                self.sent_continue = False
            self.request = None
            if request.empty:
                continue
            if request.error is not None:
                self._is_refused = True
                data = b""
                reason = _ERROR_REASONS.get(_status(request.error), caller_guard.MALFORMED)
                self.server.guard.record(reason, request.headers.get("X_REQUEST_ID"))
            self._add_request(request)
        return data

    def _allow_body(self):
        """Tell a caller that waits with its body to send it, unless an answer is due before."""
        if not self.requests and not self.sent_continue:
            self.send_continue()

    def _add_request(self, request):
        self.requests.append(request)
        if len(self.requests) == 1:
            self.server.add_task(self)

    def refuse(self, error, reason):
        """Refuse the request that is arriving, which has not run, and close the connection.

        Parameters
        ----------
        error : RequestError
            Answer to the caller, sent after the answers to earlier requests.
        reason : str
            One of ``caller_guard.REASONS``.
        """
        if self.will_close or self.close_when_flushed or self._is_refused:
            return
        request = self.request
        if request is None:
            request = self.parser_class(self.adj)
        self._is_refused = True
        self._pending = b""
        self.request = None
        request.refuse(error)
        self.server.guard.record(reason, request.headers.get("X_REQUEST_ID"))
        self._add_request(request)
        self._count_input()

    def begin_answer(self):
        """Return whether the connection ends with the answer that begins now."""
        if not self._ends_early and self.server.take_end():
            self._ends_early = True
        return self._ends_early

    def service(self):
        """Run one request."""
        super().service()
        self._count_input()

    def handle_write(self):
        """Parse what is pending, send what is buffered, and close the connection if it is due."""
        is_closing = self.will_close or self.close_when_flushed
        if self._pending and not self.total_outbufs_len and not is_closing:
            self.received(b"")
            return
        may_have_unread = self._is_refused or self._ends_early or self._pending
        if self.close_when_flushed and may_have_unread:
            self._flush_exception(self._flush_some)
            if self.will_close:
                self.handle_close()
            elif not self.total_outbufs_len:
                self._begin_linger()
        else:
            super().handle_write()
        self._count_output()

    def handle_close(self):
        """Close the connection and release its memory."""
        super().handle_close()
        self.request = None
        self._pending = b""
        self._count_input()
        self._count_output()

    def _begin_linger(self):
        self.close_when_flushed = False
        self._pending = b""
        self._linger_until = time.monotonic() + LINGER_S
        self._count_input()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    def check_timeouts(self, now, limits, idle_timeout_s):
        """Refuse or close what takes too long; called about once a second.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        limits : CallerLimits
            Limits in force.
        idle_timeout_s : float
            Time without data after which a connection between requests is closed.
        """
        if self._linger_until is not None:
            if now >= self._linger_until:
                self.will_close = True
            return
        if self.last_activity != self._seen_activity:
            # The time of the activity is that of the VM's clock, which may jump.
            self._seen_activity = self.last_activity
            self._quiet_since = now
        quiet_s = now - self._quiet_since
        if self.total_outbufs_len:
            if quiet_s > limits.idle_timeout_s:
                self.server.guard.record(caller_guard.ANSWER_NOT_READ)
                self.will_close = True
        elif self.requests:
            return
        elif self._head_started_at is not None:
            if now - self._head_started_at > limits.header_timeout_s:
                error = request_errors.RequestTimedOut("the headers did not arrive in time")
                self.refuse(error, caller_guard.HEADER_TIMEOUT)
        elif self.request is not None:
            if quiet_s > limits.idle_timeout_s:
                error = request_errors.RequestTimedOut("the body did not arrive in time")
                self.refuse(error, caller_guard.BODY_TIMEOUT)
        elif quiet_s > idle_timeout_s:
            self.will_close = True

    def write_soon(self, data):
        """Send ``data``; bytes that the socket does not accept go to the output buffer."""
        if type(data) is not bytes or not data or self.total_outbufs_len or not self.connected:
            return self._buffer(data)
        try:
            sent = self.socket.send(data)
        except OSError:
            # The inherited method distinguishes a full socket buffer from a broken connection.
            sent = 0
        self.last_activity = time.time()
        if sent < len(data):
            self._buffer(data[sent:])
        return len(data)

    def _buffer(self, data):
        written = super().write_soon(data)
        self._count_output()
        return written

    def reset_on_close(self):
        """Let the connection end with a reset instead of in order."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)

    def _count_input(self):
        """Count what is buffered of requests toward the memory budget."""
        fixed_bytes = 0
        for request in self.requests:
            if request.body_rcv is not None:
                fixed_bytes += len(request.body_rcv)
        loose_bytes = len(self._pending)
        if self.request is not None:
            loose_bytes += self.request.held_bytes
        if fixed_bytes == self._fixed_bytes and loose_bytes == self._loose_bytes:
            return
        self._fixed_bytes = fixed_bytes
        self._loose_bytes = loose_bytes
        if self._input_share is None:
            self._input_share = self.server.guard.budget.begin(self._on_input_lost)
        losers = self._input_share.resize(fixed_bytes, loose_bytes)
        if not self.connected and not fixed_bytes:
            # The share refers to the connection, which would otherwise wait for a collection.
            self._input_share = None
        memory_budget.notify(losers)

    def _on_input_lost(self):
        error = request_errors.Overloaded(
            "no memory for the request", retry_after_s=NO_MEMORY_RETRY_AFTER_S
        )
        self.refuse(error, caller_guard.NO_MEMORY)

    def _count_output(self):
        """Count unsent data toward the memory budget.

        A buffer keeps what it has sent until it is empty, so the share does not shrink before.
        """
        output_bytes = self.total_outbufs_len
        if output_bytes <= self._output_bytes and (output_bytes or not self._output_bytes):
            return
        self._output_bytes = output_bytes
        if self._output_share is None:
            self._output_share = self.server.guard.budget.begin(self._on_output_lost)
        losers = self._output_share.resize(0, output_bytes)
        if not self.connected:
            self._output_share = None
        memory_budget.notify(losers)

    def _on_output_lost(self):
        self.server.guard.record(caller_guard.NO_MEMORY)
        self.will_close = True
        self.server.pull_trigger()


def _status(error):
    return error.status if isinstance(error, request_errors.RequestError) else error.code
