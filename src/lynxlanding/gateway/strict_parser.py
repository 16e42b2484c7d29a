"""HTTP request parser that rejects ambiguous framing and keeps the raw headers."""

import re

from waitress import parser, task

# Key in the WSGI environment of the headers as sent: a list of name and value pairs.
RAW_HEADERS_KEY = "lynxlanding.raw_headers"

_HEADER_LINE = re.compile(rb"([^:\s]+):[ \t]*(.*)", re.DOTALL)


class StrictParser(parser.HTTPRequestParser):
    """Rejects requests with ambiguous framing and keeps the raw headers.

    A request with both ``Content-Length`` and ``Transfer-Encoding`` allows request smuggling: if
    another hop uses the other header to find the end of the body, part of the body is parsed as a
    second request.
    """

    raw_headers = ()

    def parse_header(self, header_plus):
        """Parse the request line and the headers."""
        _, _, header_block = header_plus.partition(b"\r\n")
        names = set()
        raw_headers = []
        for line in parser.get_header_lines(header_block):
            match = _HEADER_LINE.match(line)
            if match is None:
                raise parser.ParsingError("Invalid header")
            name = match.group(1).decode("latin-1")
            names.add(name.lower())
            raw_headers.append((name, match.group(2).strip(b" \t").decode("latin-1")))
        self.raw_headers = raw_headers
        super().parse_header(header_plus)
        if "transfer-encoding" in names and "content-length" in names:
            raise parser.ParsingError("Content-Length beside Transfer-Encoding")


class KeepAliveTask(task.WSGITask):
    """Keeps connections open after chunked responses and adds raw headers to the environ."""

    def get_environment(self):
        """Return the WSGI environment, including the raw headers."""
        environ = super().get_environment()
        environ[RAW_HEADERS_KEY] = self.request.raw_headers
        return environ

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
