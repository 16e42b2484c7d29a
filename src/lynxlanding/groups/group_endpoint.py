"""Routable endpoint of a serving group."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class GroupEndpoint:
    """Address of the leader of a serving group.

    Parameters
    ----------
    address : str
        ``host:port`` that requests are sent to.
    model : str
        Model that the group serves.
    group : str
        Name of the group.
    valid_until : float
        Monotonic time at which its evidence expires. It must be compared with the current time
        when the endpoint is chosen.
    """

    address: str
    model: str
    group: str
    valid_until: float
