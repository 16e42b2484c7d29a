"""Limits for serving evidence."""

import dataclasses

# A larger bound would keep a group with a dead VM in service for longer than callers accept.
MAX_BOUND_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceRules:
    """Limits for serving evidence.

    Parameters
    ----------
    bound_s : float
        Age in seconds above which a successful probe no longer counts: 3 probe intervals of 1 s,
        or 5 s with the probe interval of 2 s that the design size uses.
    failures_until_lost : int
        Number of consecutive failed probes before a VM counts as lost. One is not enough: after a
        pause of this node its evidence is old, and one probe may have timed out during the pause.
    """

    bound_s: float = 3.0
    failures_until_lost: int = 2

    def __post_init__(self):
        if not 0 < self.bound_s <= MAX_BOUND_S:
            raise ValueError(f"bound_s must be in (0, {MAX_BOUND_S}], got {self.bound_s}")
