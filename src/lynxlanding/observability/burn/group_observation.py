"""State of one replica group in one sample."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class GroupObservation:
    """State of a group as observed by the lease holder of its domain.

    Only the lease holder counts the groups of a domain. When the lease moves, two nodes may count
    the same second. This does not distort the burn rate, because it is a ratio.

    Parameters
    ----------
    service, place : str
        Model and data centre of the group.
    is_serving : bool
        Whether the group was complete and serving.
    accelerators, stranded_accelerators : int
        Accelerators occupied, and those of them that could not serve.
    """

    service: str
    place: str
    is_serving: bool
    accelerators: int
    stranded_accelerators: int
