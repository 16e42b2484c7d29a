"""HTTP responses that are refused unless they are whole."""

import http.client
import io
import re

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.transport import response_head

# As in RFC 9112, section 7.1.
_CHUNK_SIZE_LINE = re.compile(rb"(?P<size>[0-9A-Fa-f]{1,16})[\t ]*(?:;[^\r\n]*)?\r\n")
_CHUNK_END = b"\r\n"
# A reader allocates what is asked of it at once, and the other side states any length.
_MAX_ALLOCATED_BYTES = 64 * 1024


class StrictResponse(http.client.HTTPResponse):
    """Response whose head and chunks are checked.

    ``http.client`` takes the end of a connection for the end of the headers, leaves out headers
    that it cannot read, and takes a size that is cut to zeros for the last chunk. An answer that
    breaks off would look whole.
    """

    def begin(self):
        """Read status line and headers."""
        stream = self.fp
        self.fp = io.BytesIO(response_head.read_final_head(stream))
        try:
            super().begin()
        finally:
            self.fp = stream

    def _safe_read(self, amt):
        """Read exactly ``amt`` bytes; memory is used only for what arrives."""
        parts = []
        remaining_bytes = amt
        while remaining_bytes:
            part = self.fp.read(min(remaining_bytes, _MAX_ALLOCATED_BYTES))
            if not part:
                raise http.client.IncompleteRead(b"".join(parts), remaining_bytes)
            parts.append(part)
            remaining_bytes -= len(part)
        return b"".join(parts)

    def _read_and_discard_trailer(self):
        """Read what follows the last chunk, whose limit is that of a head."""
        remaining_bytes = response_head.MAX_HEAD_BYTES
        while True:
            line = self.fp.readline(response_head.MAX_LINE_BYTES)
            if not line or line in response_head.EMPTY_LINES:
                return
            remaining_bytes -= len(line)
            if remaining_bytes < 0:
                raise endpoint_errors.MalformedMessage("the trailers are too large")

    def _get_chunk_left(self):
        """Return the unread bytes of the current or next chunk; None after the last one."""
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(len(_CHUNK_END)) != _CHUNK_END:
            raise endpoint_errors.MalformedMessage("a chunk does not end where its size says")
        self.chunk_left = self._read_next_chunk_size() or None
        if self.chunk_left is None:
            self._read_and_discard_trailer()
            self._close_conn()
        return self.chunk_left

    def _read_next_chunk_size(self):
        line = self.fp.readline(response_head.MAX_LINE_BYTES)
        match = _CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            if response_head.is_cut(line):
                raise http.client.IncompleteRead(b"")
            raise endpoint_errors.MalformedMessage(f"malformed chunk size: {line[:80]!r}")
        return int(match["size"], 16)


def iterate_body(response, max_read_bytes):
    """Iterate over the body of a ``urllib3`` response as it arrives.

    ``urllib3.HTTPResponse.stream`` has a parser of its own for chunks, which is less strict.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Response of a strict connection, not preloaded.
    max_read_bytes : int
        Largest part to return.
    """
    while True:
        part = response.read1(max_read_bytes)
        if not part:
            return
        yield part
