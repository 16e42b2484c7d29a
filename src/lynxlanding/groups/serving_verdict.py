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
        Why the group does not serve; empty if it does.
    vms : tuple of str
        VMs that the reason applies to.
    """

    serves: bool
    reason: str = ""
    vms: tuple[str, ...] = ()
