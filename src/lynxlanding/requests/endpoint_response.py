"""Response of an endpoint."""

import dataclasses
from collections.abc import Iterator

# Response headers that are forwarded to callers and stored for replays.
FORWARDED_HEADERS = ("content-type", "content-language", "location", "etag", "cache-control")


@dataclasses.dataclass(slots=True)
class EndpointResponse:
    """Status and headers of a response, with an iterator over its body.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by lower-case name.
    chunks : Iterator of bytes
        Body as it arrives; raises ``errors.endpoint.AttemptError`` on a failure. Closing it before
        the body is complete closes the connection.
    """

    status: int
    headers: dict
    chunks: Iterator[bytes]

    @property
    def retry_after_s(self):
        """Value of ``Retry-After`` in seconds, or None."""
        try:
            return max(0.0, float(self.headers["retry-after"]))
        except (KeyError, ValueError):
            return None

    @property
    def is_self_delimiting(self):
        """Whether truncation is detected, by the content length or the last chunk."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def forwarded_headers(self):
        """Return the headers to forward to the caller."""
        return {name: self.headers[name] for name in FORWARDED_HEADERS if name in self.headers}
