"""Interface of the transport between peer listeners."""

from typing import Protocol


class PeerTransport(Protocol):
    """Sends POST requests to peer listeners."""

    def post(
        self, address: str, path: str, body: bytes, content_type: str, timeout_s: float
    ) -> bytes:
        """Return the response body; raises ``errors.membership.PeerUnreachable``."""
        ...
