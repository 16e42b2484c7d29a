"""Bounds of serving evidence."""

import dataclasses

# A bound above this would keep a group with a dead VM in service for longer than callers accept.
MAX_BOUND_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceRules:
    """Bounds of serving evidence, in seconds.

    Parameters
    ----------
    bound_s : float
        Age at which a VM that was seen alive counts as missing: 3 probe intervals of 1 s, or 5 s
        with the interval of 2 s that the design size uses.
    failures_to_lose : int
        Probes in a row that must have failed before a VM counts as lost. A node that was paused
        holds old evidence but has not probed; one probe may have timed out during the pause.
    """

    bound_s: float = 3.0
    failures_to_lose: int = 2

    def __post_init__(self):
        if not 0 < self.bound_s <= MAX_BOUND_S:
            raise ValueError(f"bound_s must be in (0, {MAX_BOUND_S}], got {self.bound_s}")
