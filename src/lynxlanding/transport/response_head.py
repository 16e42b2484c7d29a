"""Reads the head of an HTTP response and checks its syntax."""

import http.client
import re

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import header_line

# Status line and headers, including those of interim responses.
MAX_HEAD_BYTES = 128 * 1024
MAX_LINE_BYTES = 64 * 1024
# ``http.client`` refuses more, but only once it has all of them.
MAX_HEADERS = 100

# Lines as in RFC 9112, sections 4 and 5. Line folding is obsolete. Statuses are 100 to 599
# (RFC 9110, section 15); a caller could take another one for any outcome.
_STATUS_LINE = re.compile(rb"HTTP/1\.\d (?P<status>[1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n")
EMPTY_LINES = (b"\r\n", b"\n")
# 18 digits fit into 64 bits.
_LENGTH = re.compile(rb"\d{1,18}")
_SWITCHING_PROTOCOLS = 101


def read_final_head(stream):
    """Read interim responses and the head of the final one; return the latter.

    Parameters
    ----------
    stream : io.BufferedIOBase
        Stream of the connection.

    Returns
    -------
    bytes
        Status line and headers, with the empty line that ends them.

    Raises
    ------
    http.client.RemoteDisconnected
        If the stream ends before the response.
    errors.endpoint.TruncatedHead
        If the stream ends inside the head.
    errors.endpoint.MalformedMessage
        If the head or its framing is not valid.
    """
    remaining_bytes = MAX_HEAD_BYTES
    while True:
        head, status = _read_head(stream, remaining_bytes)
        remaining_bytes -= len(head)
        if status >= 200:
            return head
        if status == _SWITCHING_PROTOCOLS:
            raise endpoint_errors.MalformedMessage("status 101 without a request to upgrade")


def is_cut(line):
    """Return whether a line that was read ends with its stream instead of a line break."""
    return not line.endswith(b"\n") and len(line) < MAX_LINE_BYTES


def _read_head(stream, max_bytes):
    """Return a head and its status."""
    line = stream.readline(MAX_LINE_BYTES)
    if not line:
        raise http.client.RemoteDisconnected("the connection ended without a response")
    status_line = _STATUS_LINE.fullmatch(line)
    if status_line is None:
        raise _malformed_line(line, "status line")
    head = line
    headers = []
    while True:
        line = stream.readline(MAX_LINE_BYTES)
        head += line
        if len(head) > max_bytes:
            raise endpoint_errors.MalformedMessage("the head is too large")
        if line in EMPTY_LINES:
            break
        name, value = _parse_header(line)
        headers.append((name.lower(), value))
        if len(headers) > MAX_HEADERS:
            raise endpoint_errors.MalformedMessage("the head has too many headers")
    _check_framing(headers)
    return head, int(status_line["status"])


def _parse_header(line):
    """Return name and value of a header."""
    header = None
    if line.endswith(b"\n"):
        header = header_line.parse(line[:-1].removesuffix(b"\r"))
    if header is None:
        raise _malformed_line(line, "header")
    return header


def _malformed_line(line, description):
    """Return the error of a line that cannot be read."""
    if is_cut(line):
        return endpoint_errors.TruncatedHead(f"the response ends inside its head: {line[:80]!r}")
    return endpoint_errors.MalformedMessage(f"malformed {description}: {line[:80]!r}")


def _check_framing(headers):
    """Raise ``MalformedMessage`` unless the headers say where the body ends.

    A length or a coding that cannot be read would leave a response whose body seems to end with
    its connection.
    """
    lengths = {value for name, value in headers if name == b"content-length"}
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    if codings and (codings != [b"chunked"] or lengths):
        raise endpoint_errors.MalformedMessage(f"unusable framing: {codings}, lengths {lengths}")
    if len(lengths) > 1 or any(_LENGTH.fullmatch(length) is None for length in lengths):
        shown = sorted(length[:20] for length in lengths)
        raise endpoint_errors.MalformedMessage(f"unusable content length: {shown}")
