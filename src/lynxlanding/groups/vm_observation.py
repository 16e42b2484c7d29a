"""Input of the reconciler about one VM."""

import dataclasses

from lynxlanding.groups import engine_report


@dataclasses.dataclass(slots=True, frozen=True)
class VmObservation:
    """VM list entry and serving evidence of one VM.

    Parameters
    ----------
    name, address, place : str
        Values of the VM list, or of the domain object if the VM is not listed.
    accelerators : int
        Number of accelerators.
    is_listed : bool
        Whether the VM list contains the VM. The list may lag for new and for removed VMs.
    is_leaving : bool
        Whether any source reports the VM as leaving.
    is_alive : bool
        Whether the VM was seen alive within the evidence bound.
    is_lost : bool
        Whether probes show that the VM is lost. Without probes it is neither alive nor lost.
    report : EngineReport or None
        Newest report of its engine.
    """

    name: str
    address: str
    place: str
    accelerators: int
    is_listed: bool = True
    is_leaving: bool = False
    is_alive: bool = False
    is_lost: bool = False
    report: engine_report.EngineReport | None = None
