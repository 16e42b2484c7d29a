"""Result of one probe."""

import dataclasses

from lynxlanding.groups import engine_report


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeResult:
    """What a probe of one VM gave.

    Parameters
    ----------
    vm, address : str
        The VM.
    sent_at : float
        Monotonic time at which the probe was sent.
    report : EngineReport or None
        Report; None if the probe failed.
    is_refused : bool
        Whether the connection was refused.
    """

    vm: str
    address: str
    sent_at: float
    report: engine_report.EngineReport | None
    is_refused: bool = False
