"""Tests what is taken for a whole response when a connection ends early or carries wrong bytes."""

import gzip
import threading

import pytest
import urllib3

from lynxlanding.transport import strict_connection
from lynxlanding.transport.tests import endless_server

START = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
BODY = b"[1, 2, 3]"
BY_LENGTH = START + b"Content-Length: 9\r\nContent-Type: text/plain\r\n\r\n" + BODY
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n0004\r\n[1, \r\n05;x=y\r\n2, 3]\r\n00\r\n\r\n"
BY_CONNECTION = START + b"Content-Type: text/plain\r\n\r\n" + BODY
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + BY_LENGTH
# What follows the last chunk carries nothing that belongs to the body.
END_OF_LAST_CHUNK = b"\r\n"


def fetch(data, method="GET"):
    """Return the response of a server that sends ``data`` and ends the connection."""
    pool = strict_connection.make_pool_manager(retries=False)
    with endless_server.EndlessServer(lambda connection: connection.sendall(data)) as server:
        return pool.request(method, f"http://127.0.0.1:{server.port}/", timeout=2.0)


@pytest.mark.parametrize("data", [BY_LENGTH, CHUNKED, BY_CONNECTION, INTERIM])
def test_whole_response_is_read(data):
    response = fetch(data)
    assert (response.status, response.data) == (200, BODY)


@pytest.mark.parametrize(
    ("data", "whole_from"),
    [
        (BY_LENGTH, len(BY_LENGTH)),
        (CHUNKED, len(CHUNKED) - len(END_OF_LAST_CHUNK)),
        (INTERIM, len(INTERIM)),
        # Beyond the head, the end of the connection is the end of the body.
        (BY_CONNECTION, BY_CONNECTION.index(b"\r\n\r\n") + 4),
    ],
)
def test_response_that_ends_early_is_not_whole(data, whole_from):
    """Guards against an answer cut inside its head, which is taken for one without a body."""
    for cut_at in range(1, whole_from):
        with pytest.raises(urllib3.exceptions.HTTPError):
            fetch(data[:cut_at])


def test_response_to_head_that_ends_early_is_not_whole():
    """Guards against a success for which the endpoint has sent a part of the headers only."""
    head = BY_LENGTH[: -len(BODY)]
    assert fetch(head, "HEAD").status == 200
    for cut_at in range(1, len(head)):
        with pytest.raises(urllib3.exceptions.HTTPError):
            fetch(head[:cut_at], "HEAD")


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: \x1a9",
        b"Content-Length: +9",
        b"Content-Length: 9_0",
        b"Content-Length: " + b"9" * 5000,
        b"Content-Length: 9\r\nContent-Length: 3",
        b"Content-Length: 9\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunke",
        b"Transfer-Encoding: gzip, chunked",
        b"Content-Length\x1a 9",
        b"Content-Length : 9",
        b" Content-Length: 9",
        b"X-A: 1\r\n folded",
        b"X-A: \x00",
        b": 9",
    ],
    ids=lambda headers: repr(headers[:40]),
)
def test_head_that_is_spoilt_is_refused(headers):
    """Guards against a spoilt header that is left out, so that the body has no length."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        fetch(START + headers + b"\r\n\r\n" + BODY)


@pytest.mark.parametrize(
    "chunks",
    [
        b"-9\r\n[1, 2, 3]\r\n0\r\n\r\n",
        b"0x9\r\n[1, 2, 3]\r\n0\r\n\r\n",
        b"9\r\n[1, 2, 3]xx0\r\n\r\n",
        b"8\r\n[1, 2, 3]\r\n0\r\n\r\n",
        b"9\n[1, 2, 3]\r\n0\r\n\r\n",
    ],
)
def test_chunk_that_is_spoilt_is_refused(chunks):
    """Guards against a body from chunks whose borders are lost."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        fetch(START + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)


def test_body_is_not_decompressed():
    """Guards against a body within its limit that fills the memory once it is decompressed."""
    body = gzip.compress(bytes(10_000_000))
    head = START + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert fetch(head + body).data == body


def test_spoilt_head_writes_no_traceback(caplog):
    """Guards against a traceback for each spoilt response, which nothing bounds."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        fetch(START + b"Content-Len")
    assert caplog.records == []


def test_head_without_end_is_given_up():
    """Guards against a node that keeps the headers of an endless head."""
    pool = strict_connection.make_pool_manager(retries=False)
    done = threading.Event()

    def respond(connection):
        try:
            endless_server.endless_headers(connection)
        finally:
            done.set()

    with endless_server.EndlessServer(respond) as server:
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.request("GET", f"http://127.0.0.1:{server.port}/", timeout=5.0)
        assert done.wait(5.0)
