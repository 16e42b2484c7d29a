"""Server whose responses never end."""

import contextlib
import socket
import time

from lynxlanding.transport.tests import threaded_server

BLOCK = b"x" * 65536
TRICKLE_INTERVAL_S = 0.1
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# The largest length that is accepted, and the largest size of a chunk.
MAX_LENGTH = b"9" * 18
MAX_CHUNK_SIZE = b"F" * 16


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
    connection.sendall(CHUNKED)
    while True:
        connection.sendall(b"0" * 65536)


def endless_trailers(connection):
    """Send trailers after the last chunk."""
    connection.sendall(CHUNKED + b"0\r\n")
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


def endless_status_line(connection):
    """Send bytes that are no head, without a line break."""
    while True:
        connection.sendall(BLOCK)


def endless_header_line(connection):
    """Send a header without end."""
    connection.sendall(OK + b"A: ")
    while True:
        connection.sendall(BLOCK)


def endless_small_headers(connection):
    """Send headers of a few bytes without end."""
    connection.sendall(OK)
    while True:
        connection.sendall(b"A:\r\n" * 10000)


def endless_small_chunks(connection):
    """Send chunks of one byte without end."""
    connection.sendall(CHUNKED)
    while True:
        connection.sendall(b"1\r\nx\r\n" * 10000)


def endless_chunk_extension(connection):
    """Send a chunk whose extension never ends."""
    connection.sendall(CHUNKED + b"1;")
    while True:
        connection.sendall(BLOCK)


def endless_chunk(connection):
    """Send a chunk of the largest size."""
    connection.sendall(CHUNKED + MAX_CHUNK_SIZE + b"\r\n")
    while True:
        connection.sendall(BLOCK)


def endless_known_length(connection):
    """Send a body of the largest length."""
    connection.sendall(OK + b"Content-Length: " + MAX_LENGTH + b"\r\n\r\n")
    while True:
        connection.sendall(BLOCK)


def trickled_interim_responses(connection):
    """Send interim responses one after the other, but no final one."""
    _trickle(connection, b"HTTP/1.1 100 Continue\r\n\r\n")


def trickled_trailers(connection):
    """Send trailers one after the other."""
    connection.sendall(CHUNKED + b"0\r\n")
    _trickle(connection, b"A: b\r\n")


ALL = (
    endless_body,
    trickled_body,
    endless_chunk_size,
    endless_trailers,
    endless_interim_responses,
    trickled_head,
    endless_headers,
    endless_status_line,
    endless_header_line,
    endless_small_headers,
    endless_small_chunks,
    endless_chunk_extension,
    endless_chunk,
    endless_known_length,
    trickled_interim_responses,
    trickled_trailers,
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
