"""Result of a probe."""

import dataclasses

from lynxlanding.groups import engine_report


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeResult:
    """Result of a probe of one VM.

    Parameters
    ----------
    vm, address : str
        Name and ``host:port`` of the VM.
    sent_at : float
        Monotonic time at which the probe was sent.
    report : EngineReport or None
        Report of the engine; None if the probe failed.
    is_refused : bool
        Whether the connection was refused.
    """

    vm: str
    address: str
    sent_at: float
    report: engine_report.EngineReport | None
    is_refused: bool = False
