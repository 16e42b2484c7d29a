"""Evidence about one VM."""

import dataclasses

from lynxlanding.groups import engine_report

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class VmEvidence:
    """Newest probe results of one VM; times are monotonic seconds of this node.

    Parameters
    ----------
    alive_at : float
        When the newest successful probe was sent.
    report : EngineReport or None
        Report of that probe.
    refused_at : float
        When the newest probe whose connection was refused was sent.
    first_failure_at, last_failure_at : float
        When the first and the newest failed probe since ``alive_at`` were sent.
    failures : int
        Number of failed probes since ``alive_at``.
    """

    alive_at: float = NEVER
    report: engine_report.EngineReport | None = None
    refused_at: float = NEVER
    first_failure_at: float = NEVER
    last_failure_at: float = NEVER
    failures: int = 0
