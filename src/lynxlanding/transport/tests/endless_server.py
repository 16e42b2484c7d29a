"""Server whose responses never end."""

import contextlib
import socket
import time

from lynxlanding.transport.tests import threaded_server

BLOCK = b"x" * 65536
TRICKLE_INTERVAL_S = 0.1
OK = b"HTTP/1.1 200 OK\r\n"


def endless_body(connection):
    """Send a body without a length."""
    connection.sendall(OK + b"\r\n")
    while True:
        connection.sendall(BLOCK)


def trickled_body(connection):
    """Send a body byte by byte."""
    connection.sendall(OK + b"Content-Length: 100000\r\n\r\n")
    _trickle(connection, b"x")


def endless_chunk_size(connection):
    """Send a chunk whose size never ends."""
    connection.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n")
    while True:
        connection.sendall(b"0" * 65536)


def endless_trailers(connection):
    """Send trailers after the last chunk."""
    connection.sendall(OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
    while True:
        connection.sendall(b"A: b\r\n" * 1000)


def endless_interim_responses(connection):
    """Send interim responses, but no final one."""
    while True:
        connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)


def trickled_head(connection):
    """Send headers byte by byte."""
    connection.sendall(OK + b"A: ")
    _trickle(connection, b"x")


def endless_headers(connection):
    """Send headers without end."""
    connection.sendall(OK)
    while True:
        connection.sendall(b"A: " + b"x" * 60000 + b"\r\n")


ALL = (
    endless_body,
    trickled_body,
    endless_chunk_size,
    endless_trailers,
    endless_interim_responses,
    trickled_head,
    endless_headers,
)


def _trickle(connection, data):
    while True:
        connection.sendall(data)
        time.sleep(TRICKLE_INTERVAL_S)


class EndlessServer(threaded_server.ThreadedServer):
    """Answers the first request on each connection in one of the ways of this module."""

    def __init__(self, respond):
        self._respond = respond
        super().__init__()

    def _serve(self, connection, _number):
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            self._respond(connection)
            # Closing a connection with unread bytes would reset it.
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                continue
