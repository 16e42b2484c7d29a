"""The beginning of an endpoint's response."""

import dataclasses
from collections.abc import Iterator

# Headers of endpoints that are passed on to callers and kept for replays.
PASSED_HEADERS = ("content-type", "content-language", "location", "etag", "cache-control")


@dataclasses.dataclass(slots=True)
class EndpointResponse:
    """Status and headers, with the body to be read.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by lower-case name.
    chunks : Iterator of bytes
        Body as it arrives; raises ``errors.endpoint.AttemptError`` if it breaks. Closing it cuts
        the connection unless the body is complete.
    """

    status: int
    headers: dict
    chunks: Iterator[bytes]

    @property
    def retry_after_s(self):
        """``Retry-After`` in seconds, or None."""
        try:
            return max(0.0, float(self.headers["retry-after"]))
        except (KeyError, ValueError):
            return None

    @property
    def shows_its_end(self):
        """Whether a body that was cut short is noticed: by its length or its last chunk."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def passed_headers(self):
        """Return the headers for the caller."""
        return {name: self.headers[name] for name in PASSED_HEADERS if name in self.headers}
