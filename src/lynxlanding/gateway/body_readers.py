"""Readers of request bodies, which enforce their limits while the bytes arrive."""

import io

from waitress import rfc7230

from lynxlanding.errors import request as request_errors

# Chunks that are read in one turn of the event loop. With 200 callers that send chunks of one byte,
# a turn takes some 20 ms; without the bound such callers shut out others for 28 s.
MAX_CHUNKS_PER_TURN = 64
# Size and extensions of a chunk.
MAX_CHUNK_LINE_BYTES = 1024
# Chunk lines may take this many times the limit on bodies, so chunks of one byte stay valid.
MAX_FRAMING_RATIO = 8
# A body arrives in blocks of about this size and is joined when it is complete, so that the memory
# of a refused body fits the others.
BLOCK_BYTES = 64 << 10


class BlockBuffer:
    """Bytes that arrive in many parts."""

    __slots__ = ("_blocks", "_last", "_size")

    def __init__(self):
        self._blocks = []
        self._last = bytearray()
        self._size = 0

    def __len__(self):
        return self._size

    def append(self, data):
        """Add bytes at the end."""
        self._last += data
        self._size += len(data)
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(self._last)
            self._last = bytearray()

    def join(self):
        """Return all bytes."""
        return b"".join([*self._blocks, self._last])


class FixedBodyReader:
    """Reads a body of known length.

    Parameters
    ----------
    length : int
        Length of the body.
    """

    error = None

    __slots__ = ("_body", "_remaining", "_received", "completed")

    def __init__(self, length):
        self._remaining = length
        self._received = None
        self._body = b""
        self.completed = False

    def __len__(self):
        return len(self._body) if self._received is None else len(self._received)

    def received(self, data):
        """Read bytes and return how many of them belong to the body."""
        size = len(data)
        if size >= self._remaining:
            part = data if size == self._remaining else data[: self._remaining]
            size = self._remaining
            if self._received is None:
                self._body = part
            else:
                self._received.append(part)
                self._body = self._received.join()
                self._received = None
            self._remaining = 0
            self.completed = True
            return size
        if self._received is None:
            self._received = BlockBuffer()
        self._received.append(data)
        self._remaining -= size
        return size

    def getfile(self):
        """Return the body as a file."""
        return io.BytesIO(self._body)

    def getbuf(self):
        """Return the object that holds the bytes."""
        return self

    def close(self):
        """Discard the bytes."""
        self._body = b""
        self._received = None


class ChunkReader:
    """Reads a body in chunks (RFC 9112, section 7.1).

    Parameters
    ----------
    limits : CallerLimits
        Limits on the body and on its trailers.
    """

    __slots__ = (
        "_body",
        "_framing_bytes",
        "_limits",
        "_line",
        "_received",
        "_remaining",
        "_step",
        "_trailer",
        "completed",
        "error",
    )

    def __init__(self, limits):
        self._limits = limits
        self._received = BlockBuffer()
        self._body = b""
        self._framing_bytes = 0
        self._line = b""
        self._trailer = b""
        self._remaining = 0
        # A bound method would make a cycle, which keeps a refused body until a garbage collection.
        self._step = ChunkReader._read_line
        self.completed = False
        self.error = None

    def __len__(self):
        return len(self._body) + len(self._received) + len(self._line) + len(self._trailer)

    def received(self, data):
        """Read bytes of up to ``MAX_CHUNKS_PER_TURN`` chunks; return how many were consumed."""
        position = 0
        size = len(data)
        # A chunk takes three steps: line, data and the line break after them.
        for _ in range(3 * MAX_CHUNKS_PER_TURN):
            if position >= size or self.completed or self.error is not None:
                break
            position = self._step(self, data, position)
        return position

    def getfile(self):
        """Return the body as a file."""
        return io.BytesIO(self._body)

    def getbuf(self):
        """Return the object that holds the bytes."""
        return self

    def close(self):
        """Discard the bytes."""
        self._body = self._line = self._trailer = b""
        self._received = BlockBuffer()

    def _read_line(self, data, position):
        end = data.find(b"\n", position)
        next_position = len(data) if end < 0 else end + 1
        line = data[position:next_position]
        if self._line:
            line = self._line + line
        if len(line) > MAX_CHUNK_LINE_BYTES:
            self.error = request_errors.InvalidRequest("the line of a chunk is too long")
            return next_position
        if end < 0:
            self._line = line
            return next_position
        self._line = b""
        self._framing_bytes += len(line) + 2
        if self._framing_bytes > MAX_FRAMING_RATIO * max(
            self._limits.max_body_bytes, MAX_CHUNK_LINE_BYTES
        ):
            self.error = request_errors.InvalidRequest("the chunks are too small for their number")
            return next_position
        self._begin_chunk(line)
        return next_position

    def _begin_chunk(self, line):
        if not line.endswith(b"\r\n"):
            self.error = request_errors.InvalidRequest("the line of a chunk is malformed")
            return
        digits, separator, extension = line[:-2].partition(b";")
        if not rfc7230.ONLY_HEXDIG_RE.match(digits):
            self.error = request_errors.InvalidRequest("the size of a chunk is malformed")
            return
        if separator and not rfc7230.CHUNK_EXT_RE.match(separator + extension):
            self.error = request_errors.InvalidRequest("the extension of a chunk is malformed")
            return
        size = int(digits, 16)
        if size == 0:
            self._step = ChunkReader._read_trailer
        elif len(self._received) + size > self._limits.max_body_bytes:
            self.error = request_errors.BodyTooLarge(
                f"the body exceeds {self._limits.max_body_bytes} bytes"
            )
        else:
            self._remaining = size
            self._step = ChunkReader._read_data

    def _read_data(self, data, position):
        part = data[position : position + self._remaining]
        self._received.append(part)
        self._remaining -= len(part)
        if not self._remaining:
            self._step = ChunkReader._read_data_end
        return position + len(part)

    def _read_data_end(self, data, position):
        needed = 2 - len(self._line)
        ending = self._line + data[position : position + needed]
        if not b"\r\n".startswith(ending):
            self.error = request_errors.InvalidRequest("a chunk does not end where it should")
            return len(data)
        if len(ending) < 2:
            self._line = ending
            return len(data)
        self._line = b""
        self._step = ChunkReader._read_line
        return position + needed

    def _read_trailer(self, data, position):
        known = len(self._trailer)
        trailer = self._trailer + data[position:]
        if trailer.startswith(b"\r\n"):
            end = 2
        else:
            end = trailer.find(b"\r\n\r\n")
            end = -1 if end < 0 else end + 4
        if (len(trailer) if end < 0 else end) > self._limits.max_header_bytes:
            self.error = request_errors.HeadersTooLarge("the trailers exceed the limit on headers")
            return len(data)
        if end < 0:
            self._trailer = trailer
            return len(data)
        self._trailer = b""
        self._body = self._received.join()
        self._received = BlockBuffer()
        self.completed = True
        return position + end - known
