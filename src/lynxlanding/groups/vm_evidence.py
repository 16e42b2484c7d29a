"""Serving evidence about one VM."""

import dataclasses

from lynxlanding.groups import engine_report

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class VmEvidence:
    """Newest probe results of one VM. Times are local monotonic times in seconds.

    Parameters
    ----------
    last_success_at : float
        When the newest successful probe was sent.
    report : EngineReport or None
        Report of that probe.
    refused_at : float
        When the newest probe whose connection was refused was sent.
    first_failure_at, last_failure_at : float
        When the first and the newest failed probe since ``last_success_at`` were sent.
    failures : int
        Number of failed probes since ``last_success_at``.
    """

    last_success_at: float = NEVER
    report: engine_report.EngineReport | None = None
    refused_at: float = NEVER
    first_failure_at: float = NEVER
    last_failure_at: float = NEVER
    failures: int = 0
