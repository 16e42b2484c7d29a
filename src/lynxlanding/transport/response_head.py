"""Reads the head of an HTTP response and checks its syntax."""

import http.client
import re

from lynxlanding.errors import endpoint as endpoint_errors

# Status line and headers, including those of interim responses.
MAX_HEAD_BYTES = 128 * 1024
MAX_LINE_BYTES = 64 * 1024
# ``http.client`` refuses more, but only once it has all of them.
MAX_HEADERS = 100

# Lines as in RFC 9112, sections 4 and 5. Line folding is obsolete. Statuses are 100 to 599
# (RFC 9110, section 15); a caller could take another one for any outcome.
_STATUS_LINE = re.compile(rb"HTTP/1\.\d (?P<status>[1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n")
_HEADER_LINE = re.compile(
    rb"(?P<name>[!#$%&'*+\-.^_`|~0-9A-Za-z]+):[\t ]*(?P<value>[\t\x20-\x7e\x80-\xff]*?)[\t ]*\r?\n"
)
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
    status_line = _match_line(_STATUS_LINE, line, "status line")
    head = line
    headers = []
    while True:
        line = stream.readline(MAX_LINE_BYTES)
        head += line
        if len(head) > max_bytes:
            raise endpoint_errors.MalformedMessage("the head is too large")
        if line in EMPTY_LINES:
            break
        header = _match_line(_HEADER_LINE, line, "header")
        headers.append((header["name"].lower(), header["value"]))
        if len(headers) > MAX_HEADERS:
            raise endpoint_errors.MalformedMessage("the head has too many headers")
    _check_framing(headers)
    return head, int(status_line["status"])


def _match_line(pattern, line, description):
    match = pattern.fullmatch(line)
    if match is not None:
        return match
    if is_cut(line):
        raise endpoint_errors.TruncatedHead(f"the response ends inside its head: {line[:80]!r}")
    raise endpoint_errors.MalformedMessage(f"malformed {description}: {line[:80]!r}")


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
