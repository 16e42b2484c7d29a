"""Interface of the transport between peer listeners."""

from typing import Protocol


class PeerTransport(Protocol):
    """Posts a body to a path of a peer listener."""

    def post(
        self, address: str, path: str, body: bytes, content_type: str, timeout_s: float
    ) -> bytes:
        """Return the answer's body; raises ``errors.membership.PeerUnreachable``."""
        ...
