"""HTTP servers of the node, based on waitress."""

import logging
import socket
import struct
import time

import waitress
from waitress import channel

from lynxlanding.gateway import error_task, stream_aborted, strict_parser

# Bodies slightly above the limit still reach the application, whose error is more detailed.
BODY_MARGIN_BYTES = 64 << 10
# Unsent data is dropped, and the other side sees a reset.
_NO_LINGER = struct.pack("ii", 1, 0)


class StreamingChannel(channel.HTTPChannel):
    """Channel with JSON protocol errors and a fast path for small writes.

    The inherited ``write_soon`` takes a lock and goes through an output buffer for each token.
    Threads are cooperative (gevent), so no other thread can run between the check of the buffer
    and the non-blocking send. Data therefore go directly to the socket while the buffer is empty.
    """

    parser_class = strict_parser.StrictParser
    task_class = strict_parser.KeepAliveTask
    error_task_class = error_task.JsonErrorTask

    def write_soon(self, data):
        """Send ``data``; bytes that the socket does not accept go to the output buffer."""
        if type(data) is not bytes or not data or self.total_outbufs_len or not self.connected:
            return super().write_soon(data)
        try:
            sent = self.socket.send(data)
        except OSError:
            # The inherited method distinguishes a full socket buffer from a broken connection.
            return super().write_soon(data)
        self.last_activity = time.time()
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)

    def reset_on_close(self):
        """Let the connection end with a reset instead of in order."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


class _StreamAbortedFilter(logging.Filter):
    """Drops the tracebacks of streams that were aborted on purpose."""

    def filter(self, record):
        """Return whether to log the record."""
        exc_info = record.exc_info
        return not (exc_info and isinstance(exc_info[1], stream_aborted.StreamAborted))


def create(app, host, port, settings, listener=None):
    """Return a server that listens but handles no requests until it is run.

    Parameters
    ----------
    app : callable
        WSGI application.
    host : str
        IP address.
    port : int
        TCP port.
    settings : RequestSettings
        Limits on requests and connections.
    listener : socket, optional
        Socket that already listens at the address; the server takes ownership of it.
    """
    logging.getLogger("waitress").addFilter(_StreamAbortedFilter())
    server = waitress.create_server(
        app,
        **_listen_arguments(host, port, listener),
        threads=settings.concurrency,
        connection_limit=settings.concurrency * 2,
        backlog=2048,
        # Flush every stream event as soon as it is written.
        send_bytes=1,
        max_request_body_size=settings.max_body_bytes + BODY_MARGIN_BYTES,
        max_request_header_size=settings.max_header_bytes,
        # The VMs have no disks, so request bodies must stay in memory.
        inbuf_overflow=settings.max_body_bytes + 2 * BODY_MARGIN_BYTES,
        channel_timeout=int(max(1, settings.idle_timeout_s)),
        cleanup_interval=2,
        channel_request_lookahead=1,
        asyncore_use_poll=True,
        ident=None,
        clear_untrusted_proxy_headers=True,
    )
    server.channel_class = StreamingChannel
    return server


def _listen_arguments(host, port, listener):
    if listener is None:
        return {"host": host, "port": port}
    # The listener may predate gevent's monkey patching, so it is wrapped in the patched type.
    return {"sockets": [socket.socket(fileno=listener.detach())]}


def count_busy_connections(server):
    """Return the number of connections with a request in progress or unsent response data.

    After a request has ended, its response can remain in the output buffer if the caller reads
    slowly.
    """
    count = 0
    for connection in list(server.active_channels.values()):
        if connection.requests or connection.total_outbufs_len:
            count += 1
    return count
