"""Streams that break off, as callers see them on their connections."""

import socket
import threading
import types

import pytest

from lynxlanding.gateway import http_server, stream_aborted

SETTINGS = types.SimpleNamespace(
    concurrency=4, max_body_bytes=1 << 20, max_header_bytes=1 << 14, idle_timeout_s=5.0
)
EVENT = b"id: 1\ndata: x\n\n"


def abort_after_an_event(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])

    def iterate():
        yield EVENT
        raise stream_aborted.StreamAborted("the endpoint broke off")

    return iterate()


def end_after_an_event(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return iter([EVENT])


def call(app, version):
    """Return what a caller receives until the end of its connection; raises on a reset."""
    server = http_server.create(app, "127.0.0.1", 0, SETTINGS)
    threading.Thread(target=server.run, daemon=True).start()
    with socket.create_connection(("127.0.0.1", server.effective_port), timeout=3.0) as caller:
        caller.sendall(b"GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n" % version)
        received = b""
        try:
            while data := caller.recv(65536):
                received += data
        finally:
            server.close()
        return received


def test_broken_stream_does_not_look_complete_to_a_caller_without_chunks():
    """Guards against a stream for HTTP/1.0 whose end is that of its connection."""
    with pytest.raises(ConnectionResetError):
        call(abort_after_an_event, b"1.0")


def test_broken_stream_has_no_last_chunk():
    received = call(abort_after_an_event, b"1.1")
    assert EVENT in received
    assert not received.endswith(b"0\r\n\r\n")


def test_whole_streams_end_in_order():
    assert call(end_after_an_event, b"1.0").endswith(EVENT)
    assert call(end_after_an_event, b"1.1").endswith(b"0\r\n\r\n")
