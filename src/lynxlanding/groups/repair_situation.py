"""Input of repair policies."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RepairSituation:
    """State of an incomplete group.

    Parameters
    ----------
    missing_vms : int
        Number of VMs that are lost or leaving.
    spare_vms : int
        Number of live VMs of the fabric domain that belong to no group.
    held_accelerators : int
        Number of accelerators of the remaining VMs; they are stranded while the group waits.
    group_accelerators : int
        Number of accelerators of the complete group.
    waited_s : float
        Time in seconds for which the group has been incomplete.
    completes_another : bool
        Whether freeing the remaining VMs completes another incomplete group at once.
    """

    missing_vms: int
    spare_vms: int
    held_accelerators: int
    group_accelerators: int
    waited_s: float
    completes_another: bool = False
