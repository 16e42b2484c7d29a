"""State of one replica group over a short time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class GroupObservation:
    """What the holder of a domain saw of a group.

    Only the holder counts a domain. When the lease moves, two nodes may count the same second;
    burn is a ratio, so this does not shift it.

    Parameters
    ----------
    service, place : str
        Model and data centre of the group.
    serving : bool
        Whether the group was complete and serving.
    accelerators, stranded : int
        Accelerators held, and those of them that could not serve.
    """

    service: str
    place: str
    serving: bool
    accelerators: int
    stranded: int
