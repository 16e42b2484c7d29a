"""HTTP request parser that rejects ambiguous framing and keeps the raw headers."""

import re

from waitress import parser, task, utilities

from lynxlanding.errors import request as request_errors
from lynxlanding.gateway import body_readers
from lynxlanding.traffic import limits as caller_limits
from lynxlanding.transport import header_line

# Key in the WSGI environment of the headers as sent: a list of name and value pairs.
RAW_HEADERS_KEY = "lynxlanding.raw_headers"

# Limits of a parser that is used without a server.
DEFAULT_LIMITS = caller_limits.CallerLimits(
    max_header_bytes=64 << 10, max_body_bytes=16 << 20, header_timeout_s=3.0, idle_timeout_s=15.0
)

# The request lines that ``waitress`` accepts. Its own expressions for them and for headers take a
# number of steps that grows with the square of the length of a malformed line.
_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [^ ]+(?: HTTP/[0-9]\.[0-9])?")


class StrictParser(parser.HTTPRequestParser):
    """Rejects requests with ambiguous framing and keeps the raw headers.

    A request with both ``Content-Length`` and ``Transfer-Encoding`` allows request smuggling: if
    another hop uses the other header to find the end of the body, part of the body is parsed as a
    second request. The limits apply while the bytes arrive.
    """

    raw_headers = ()
    limits = DEFAULT_LIMITS

    @property
    def held_bytes(self):
        """Bytes that are buffered for the request."""
        reader = self.body_rcv
        return len(self.header_plus) + (0 if reader is None else len(reader))

    def received(self, data):
        """Read bytes and return how many of them were consumed.

        Fewer than all are consumed if the request is complete, or if the rest has to wait for the
        next turn of the event loop.
        """
        if self.completed:
            return 0
        reader = self.body_rcv
        if reader is None:
            return self._receive_head(data)
        consumed = reader.received(data)
        self.body_bytes_received += consumed
        if reader.error is not None:
            self.refuse(reader.error)
        elif reader.completed:
            self.completed = True
            if self.chunked:
                self.headers["CONTENT_LENGTH"] = str(len(reader))
        return consumed

    def refuse(self, error):
        """Complete the request with an error and discard what has arrived of it."""
        self.body_rcv = None
        self.header_plus = b""
        self.expect_continue = False
        self.error = error
        self.completed = True

    def _receive_head(self, data):
        head = self.header_plus + data if self.header_plus else data
        end = utilities.find_double_newline(head)
        if (len(head) if end < 0 else end) > self.limits.max_header_bytes:
            self.refuse(
                request_errors.HeadersTooLarge(
                    f"the headers exceed {self.limits.max_header_bytes} bytes"
                )
            )
            return len(data)
        if end < 0:
            self.header_plus = head
            return len(data)
        consumed = len(data) - (len(head) - end)
        self.header_plus = b""
        # Empty lines before a request are allowed (RFC 9112, section 2.2).
        head = head[:end].lstrip()
        self.headers_finished = True
        if not head:
            self.empty = True
            self.completed = True
            return consumed
        try:
            self.parse_header(head)
        except parser.ParsingError as e:
            self.refuse(utilities.BadRequest(e.args[0]))
        except parser.TransferEncodingNotImplemented as e:
            self.refuse(utilities.ServerNotImplemented(e.args[0]))
        else:
            if self.body_rcv is None:
                self.completed = True
            elif self.content_length > self.limits.max_body_bytes:
                self.refuse(
                    request_errors.BodyTooLarge(
                        f"the body exceeds {self.limits.max_body_bytes} bytes"
                    )
                )
        return consumed

    def parse_header(self, header_plus):
        """Parse the request line and the headers."""
        request_line, _, header_block = header_plus.partition(b"\r\n")
        request_line = request_line.rstrip()
        if _REQUEST_LINE.fullmatch(request_line) is None:
            raise parser.ParsingError("Start line is invalid")
        names = set()
        raw_headers = []
        lines = [request_line]
        for line in parser.get_header_lines(header_block):
            header = header_line.parse(line)
            if header is None:
                raise parser.ParsingError("Invalid header")
            name = header[0].decode("latin-1")
            names.add(name.lower())
            raw_headers.append((name, header[1].decode("latin-1")))
            lines.append(b"%b: %b" % header)
        self.raw_headers = raw_headers
        super().parse_header(b"\r\n".join([*lines, b""]))
        if "transfer-encoding" in names and "content-length" in names:
            raise parser.ParsingError("Content-Length beside Transfer-Encoding")
        if self.chunked:
            self.body_rcv = body_readers.ChunkReader(self.limits)
        elif self.content_length > 0:
            self.body_rcv = body_readers.FixedBodyReader(self.content_length)


class KeepAliveTask(task.WSGITask):
    """Keeps connections open after chunked responses and adds raw headers to the environ."""

    def get_environment(self):
        """Return the WSGI environment, including the raw headers."""
        environ = super().get_environment()
        environ[RAW_HEADERS_KEY] = self.request.raw_headers
        return environ

    def build_response_header(self):
        """Return the head, which announces the end of a connection whose place others need."""
        if self.channel.begin_answer():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()

    def execute(self):
        """Run the application; a response that breaks off must not look complete."""
        try:
            super().execute()
        except Exception:
            if self.wrote_header and not self.chunked_response and self.content_length is None:
                # The end of the connection would be that of the response.
                self.channel.reset_on_close()
            raise

    def set_close_on_finish(self):
        """Close the connection after the response unless chunked encoding marks its end."""
        has_length = any(name == "Content-Length" for name, _ in self.response_headers)
        is_close_requested = self.request.headers.get("CONNECTION", "").lower() == "close"
        is_chunked = not self.wrote_header and self.chunked_response and not has_length
        if is_chunked and self.version == "1.1" and not is_close_requested:
            return
        super().set_close_on_finish()
