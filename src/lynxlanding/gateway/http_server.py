"""HTTP servers of the node, based on waitress."""

import logging
import socket

from waitress import adjustments

from lynxlanding.gateway import caller_guard, caller_server, stream_aborted

# The VMs have no disks, so what is buffered must stay in memory, which has its own budget.
_NO_OVERFLOW = 1 << 40
# Descriptors that are not for callers' connections.
RESERVED_DESCRIPTORS = 200
# Listeners with few threads, such as that for readiness checks, take this many connections.
MIN_CONNECTIONS = 64


class _StreamAbortedFilter(logging.Filter):
    """Drops the tracebacks of streams that were aborted on purpose."""

    def filter(self, record):
        """Return whether to log the record."""
        exc_info = record.exc_info
        return not (exc_info and isinstance(exc_info[1], stream_aborted.StreamAborted))


def create(app, host, port, settings, listener=None, guard=None):
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
    guard : CallerGuard, optional
        Limits on all callers of the process together; by default those of ``settings`` apply to
        this server alone.
    """
    logging.getLogger("waitress").addFilter(_StreamAbortedFilter())
    if guard is None:
        guard = caller_guard.for_settings(settings)
    adjusted = adjustments.Adjustments(
        **_listen_arguments(host, port, listener),
        threads=settings.concurrency,
        connection_limit=_max_connections(settings.concurrency, guard.max_descriptors),
        backlog=2048,
        # Flush every stream event as soon as it is written.
        send_bytes=1,
        inbuf_overflow=_NO_OVERFLOW,
        outbuf_overflow=_NO_OVERFLOW,
        channel_request_lookahead=1,
        asyncore_use_poll=True,
        ident=None,
        clear_untrusted_proxy_headers=True,
    )
    if listener is None:
        server = caller_server.CallerServer(app, {}, adj=adjusted)
    else:
        (own_listener,) = adjusted.sockets
        address = (own_listener.family, own_listener.type, own_listener.proto)
        server = caller_server.CallerServer(
            app,
            {},
            _sock=own_listener,
            adj=adjusted,
            bind_socket=False,
            sockinfo=(*address, own_listener.getsockname()),
        )
    server.guard = guard
    server.idle_timeout_s = settings.idle_timeout_s
    return server


def _max_connections(concurrency, max_descriptors):
    """Return how many connections a server takes.

    Each request that runs may take a further descriptor, for its connection to an endpoint.
    """
    if max_descriptors is None:
        return max(MIN_CONNECTIONS, 2 * concurrency)
    return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS - concurrency)


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
