"""waitress servers of the node."""

import logging
import socket
import time

import waitress
from waitress import channel

from lynxlanding.gateway import error_task, stream_aborted, strict_parser

# A body slightly above the limit still reaches the application, which refuses it with more detail.
BODY_MARGIN_BYTES = 64 << 10


class StreamingChannel(channel.HTTPChannel):
    """Channel with JSON protocol errors and a short path for small writes.

    The inherited ``write_soon`` takes a lock and goes through an output buffer for each token.
    Under cooperative threads nothing can run between the check and the non-blocking send, so data
    go to the socket directly while the buffer is empty.
    """

    parser_class = strict_parser.StrictParser
    task_class = strict_parser.KeepAliveTask
    error_task_class = error_task.JsonErrorTask

    def write_soon(self, data):
        """Send ``data``; what the socket does not take goes to the output buffer."""
        if type(data) is not bytes or not data or self.total_outbufs_len or not self.connected:
            return super().write_soon(data)
        try:
            sent = self.socket.send(data)
        except OSError:
            # The inherited method tells a full socket from a broken connection.
            return super().write_soon(data)
        self.last_activity = time.time()
        if sent < len(data):
            super().write_soon(data[sent:])
        return len(data)


class _AbortFilter(logging.Filter):
    """Drops the traces of streams that were cut on purpose."""

    def filter(self, record):
        """Return whether the record is logged."""
        exc_info = record.exc_info
        return not (exc_info and isinstance(exc_info[1], stream_aborted.StreamAborted))


def create(app, host, port, settings, listener=None):
    """Return a listening server that is not running yet.

    Parameters
    ----------
    app : callable
        WSGI application.
    host : str
        IP address.
    port : int
        TCP port.
    settings : RequestSettings
        Limits.
    listener : socket, optional
        Listens at the address already; the server takes it over.
    """
    logging.getLogger("waitress").addFilter(_AbortFilter())
    server = waitress.create_server(
        app,
        **_address(host, port, listener),
        threads=settings.concurrency,
        connection_limit=settings.concurrency * 2,
        backlog=2048,
        # Every event is flushed as soon as it is written.
        send_bytes=1,
        max_request_body_size=settings.max_body_bytes + BODY_MARGIN_BYTES,
        max_request_header_size=settings.max_header_bytes,
        # The VMs have no disks: bodies stay in memory.
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


def _address(host, port, listener):
    if listener is None:
        return {"host": host, "port": port}
    # The listener may have been made before the cooperative socket type was put in place.
    return {"sockets": [socket.socket(fileno=listener.detach())]}


def count_busy_connections(server):
    """Return the connections with a request in progress or an answer that is not sent yet.

    An answer can wait in the node's buffer for a slow caller after its request has ended.
    """
    busy = 0
    for connection in list(server.active_channels.values()):
        if connection.requests or connection.total_outbufs_len:
            busy += 1
    return busy
