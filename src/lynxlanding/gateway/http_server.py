"""waitress servers of the node."""

import logging

import waitress
from waitress import channel

from lynxlanding.gateway import error_task, stream_aborted

# A body slightly above the limit still reaches the application, which refuses it with more detail.
BODY_MARGIN_BYTES = 64 << 10


class JsonErrorChannel(channel.HTTPChannel):
    """Channel whose protocol errors are JSON."""

    error_task_class = error_task.JsonErrorTask


class _AbortFilter(logging.Filter):
    """Drops the traces of streams that were cut on purpose."""

    def filter(self, record):
        """Return whether the record is logged."""
        exc_info = record.exc_info
        return not (exc_info and isinstance(exc_info[1], stream_aborted.StreamAborted))


def create(app, host, port, settings):
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
    """
    logging.getLogger("waitress").addFilter(_AbortFilter())
    server = waitress.create_server(
        app,
        host=host,
        port=port,
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
    server.channel_class = JsonErrorChannel
    return server
