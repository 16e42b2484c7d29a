"""HTTP parsing that keeps what was sent and refuses ambiguous framing."""

import re

from waitress import parser, task

# Key of the WSGI environment that holds the headers as sent.
RAW_HEADERS = "lynxlanding.raw_headers"

_FIELD = re.compile(rb"([^:\s]+):[ \t]*(.*)", re.DOTALL)


class StrictParser(parser.HTTPRequestParser):
    """Refuses requests with two framings and keeps the list of headers.

    A request with ``Content-Length`` and ``Transfer-Encoding`` can be read in two ways; where
    another hop reads it the other way, its body becomes a second request.
    """

    raw_headers = ()

    def parse_header(self, header_plus):
        """Parse the request line and the headers."""
        _, _, block = header_plus.partition(b"\r\n")
        names = set()
        raw_headers = []
        for line in parser.get_header_lines(block):
            field = _FIELD.match(line)
            if field is None:
                raise parser.ParsingError("Invalid header")
            name = field.group(1).decode("latin-1")
            names.add(name.lower())
            raw_headers.append((name, field.group(2).strip(b" \t").decode("latin-1")))
        self.raw_headers = raw_headers
        super().parse_header(header_plus)
        if "transfer-encoding" in names and "content-length" in names:
            raise parser.ParsingError("Content-Length beside Transfer-Encoding")


class KeepAliveTask(task.WSGITask):
    """Keeps the connection open after a chunked response and passes on the raw headers."""

    def get_environment(self):
        """Return the WSGI environment."""
        environ = super().get_environment()
        environ[RAW_HEADERS] = self.request.raw_headers
        return environ

    def set_close_on_finish(self):
        """Close after the response, unless only its missing length asks for that."""
        has_length = any(name == "Content-Length" for name, _ in self.response_headers)
        asks_to_close = self.request.headers.get("CONNECTION", "").lower() == "close"
        framed_by_chunks = not self.wrote_header and self.chunked_response and not has_length
        if framed_by_chunks and self.version == "1.1" and not asks_to_close:
            return
        super().set_close_on_finish()
