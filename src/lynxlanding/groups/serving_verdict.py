"""Whether a group may receive requests."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ServingVerdict:
    """Decision about one group.

    Parameters
    ----------
    serves : bool
        Whether the group may receive new requests.
    reason : str
        Why not; empty if it serves.
    vms : tuple of str
        VMs that are missing or do not match.
    """

    serves: bool
    reason: str = ""
    vms: tuple[str, ...] = ()
