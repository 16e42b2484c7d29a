"""Limits on callers' requests and connections."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the headers and of the body of a request.
    header_timeout_s : float
        Maximum time to receive the headers of a request.
    idle_timeout_s : float
        Maximum time that a connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
