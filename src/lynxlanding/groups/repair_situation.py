"""State of an incomplete group, for a repair policy."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RepairSituation:
    """An incomplete group.

    Parameters
    ----------
    missing_vms : int
        VMs that are lost or leaving.
    spare_vms : int
        Live VMs of the fabric domain that belong to no group.
    held_accelerators : int
        Accelerators of the remaining VMs; they are stranded while the group waits.
    group_accelerators : int
        Accelerators of the complete group.
    waited_s : float
        Time for which the group has been incomplete.
    completes_another : bool
        Whether freeing the remaining VMs completes another incomplete group at once.
    """

    missing_vms: int
    spare_vms: int
    held_accelerators: int
    group_accelerators: int
    waited_s: float
    completes_another: bool = False
