"""Endpoint of a serving group."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class GroupEndpoint:
    """The leader's address of a group that serves.

    Parameters
    ----------
    address : str
        ``host:port`` that receives the requests.
    model : str
        Model that it serves.
    group : str
        Name of the group.
    valid_until : float
        Monotonic time at which its evidence expires. It must be compared with a fresh clock when
        the endpoint is chosen.
    """

    address: str
    model: str
    group: str
    valid_until: float
