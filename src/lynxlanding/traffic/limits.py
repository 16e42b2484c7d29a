"""Limits on what callers send."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Sizes in bytes and times in seconds that callers must keep to."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
