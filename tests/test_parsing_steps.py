"""Tests that the steps to read bytes of others grow linearly with their length.

Threads are cooperative, so a node stands still while it reads them.
"""

import http.client
import io
import time

import pytest
import waitress.adjustments

from lynxlanding.dispatch import event_buffer
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.gateway import strict_parser
from lynxlanding.platform import request_headers
from lynxlanding.transport import address, json_document, strict_response

LENGTHS = [60 << doublings for doublings in range(11)]
MAX_LENGTH = max(LENGTHS)
# Shorter times are not compared, as they are those of the call rather than of its steps.
MIN_COMPARED_S = 0.02
# Between lengths with this ratio, linear steps take 4 times as long and quadratic ones 16 times.
LENGTH_RATIO = 4
MAX_TIME_RATIO = 8

OK = b"HTTP/1.1 200 OK\r\n"
ADJUSTMENTS = waitress.adjustments.Adjustments()


class Connection:
    """Stands for a socket whose bytes have arrived."""

    def __init__(self, data):
        self._data = data

    def makefile(self, _mode):
        return io.BytesIO(self._data)


def read_response(data):
    response = strict_response.StrictResponse(Connection(data))
    try:
        response.begin()
        response.read()
    except (endpoint_errors.AttemptError, http.client.HTTPException):
        pass


def read_request(data):
    parser = strict_parser.StrictParser(ADJUSTMENTS)
    while data and not parser.completed:
        data = data[parser.received(data) :]


def decode_json(data):
    try:
        json_document.decode(data)
    except ValueError:
        pass


def read_events(data):
    event_buffer.EventBuffer().feed(data)


def read_header(name):
    def read(data):
        headers = [(name, data.decode("latin-1"))]
        request_headers.decode_request(headers)
        request_headers.decode_response(headers)

    return read


def repeat(part, length):
    return part * (length // len(part))


READERS = {
    "status line": (read_response, lambda n: b"HTTP/1.1 200 " + b" " * n + b"\0\r\n\r\n"),
    "blanks": (read_response, lambda n: OK + b"a:" + b" " * n + b"\0\r\n\r\n"),
    "blanks without end": (read_response, lambda n: OK + b"a:" + b" " * n),
    "words": (read_response, lambda n: OK + b"a:" + repeat(b"b \t", n) + b"\0\r\n\r\n"),
    "header name": (read_response, lambda n: OK + b"a" * n + b" :\r\n\r\n"),
    "headers": (read_response, lambda n: OK + repeat(b"a:\r\n", n) + b"\r\n"),
    "interim responses": (read_response, lambda n: repeat(b"HTTP/1.1 100 \r\n\r\n", n)),
    "chunk size": (
        read_response,
        lambda n: OK + b"transfer-encoding: chunked\r\n\r\n" + b"1" * 16 + b" " * n + b"\0\r\n",
    ),
    "chunk extension": (
        read_response,
        lambda n: OK + b"transfer-encoding: chunked\r\n\r\n1" + b";" * n + b"\r\r\n",
    ),
    "trailers": (
        read_response,
        lambda n: OK + b"transfer-encoding: chunked\r\n\r\n0\r\n" + repeat(b"a:\r\n", n),
    ),
    "request digits": (read_request, lambda n: b"GET a://" + b"1" * n + b" X\r\n\r\n"),
    "request words": (read_request, lambda n: repeat(b"GET ", n) + b"\r\n\r\n"),
    "request scheme": (read_request, lambda n: b"GET " + repeat(b"a://", n) + b" X\r\n\r\n"),
    "caller's blanks": (
        read_request,
        lambda n: b"GET / HTTP/1.1\r\na:" + b" " * n + b"\0\r\n\r\n",
    ),
    "caller's words": (
        read_request,
        lambda n: b"GET / HTTP/1.1\r\na:" + repeat(b"b \t", n) + b"\0\r\n\r\n",
    ),
    "caller's folded lines": (
        read_request,
        lambda n: b"GET / HTTP/1.1\r\na:b\r\n" + repeat(b" \r\n", n) + b"\r\n",
    ),
    "caller's headers": (
        read_request,
        lambda n: b"GET / HTTP/1.1\r\n" + repeat(b"a:b\r\n", n) + b"\r\n",
    ),
    "caller's chunk extension": (
        read_request,
        lambda n: b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;a=" + b'"' * n + b"\r\n",
    ),
    "unclosed text": (decode_json, lambda n: b"[" * n + b'"' + repeat(b'\\"', n)),
    "unclosed texts": (decode_json, lambda n: b"[" * n + repeat(b'""\\', n)),
    "nested values": (decode_json, lambda n: repeat(b'[{"":', n)),
    "digits": (decode_json, lambda n: b"1" * n),
    "fraction": (decode_json, lambda n: b"1." + b"1" * n + b"e-1"),
    "event lines": (read_events, lambda n: b"id: 1\n" + repeat(b"a:\n", n) + b"\n"),
    "event field": (read_events, lambda n: b"id: 1\n" + b"a" * n + b"\r\n\n"),
    "event ids": (read_events, lambda n: repeat(b"id: 1\n", n) + b"\n"),
    "address": (lambda data: address.is_valid(data.decode()), lambda n: repeat(b":1", n)),
}
for header_name in (
    "X-Token-Counts",
    "X-Prompt-Parts",
    "X-Length-Hint",
    "Connection",
    "Keep-Alive",
    "Retry-After",
    "X-Load",
    "Date",
):
    READERS[header_name] = (read_header(header_name), lambda n: repeat(b"1 ,=", n))
    READERS[f"{header_name} digits"] = (read_header(header_name), lambda n: b"1" * n)


def measure_s(read, data):
    """Return the shortest processor time of three runs, in seconds."""
    times_s = []
    for _ in range(3):
        started_at = time.thread_time()
        read(data)
        times_s.append(time.thread_time() - started_at)
    return min(times_s)


@pytest.mark.parametrize("case", READERS)
def test_steps_grow_linearly(case):
    """Guards against a node that stands still for minutes over 64 kB of an endpoint or caller."""
    read, make_data = READERS[case]
    times_s = {}
    for length in LENGTHS:
        times_s[length] = measure_s(read, make_data(length))
        if times_s[length] < MIN_COMPARED_S:
            continue
        assert times_s[length] < MAX_TIME_RATIO * times_s[length // LENGTH_RATIO], times_s
    assert max(times_s) == MAX_LENGTH
