"""Orders to engines."""

import dataclasses

JOIN = "join"
OPEN = "open"
CLOSE = "close"
LEAVE = "leave"
STAGE = "stage"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to one engine.

    Parameters
    ----------
    kind : str
        One of the constants of this module.
    endpoint_id : str
        Engine that receives the order.
    group : str
        Name of the group; empty for ``STAGE``.
    epoch : int
        Epoch of the group.
    model : str
        Model to join with or to stage.
    members : tuple of str
        Members of the group for ``JOIN``, head first.
    aborts_work : bool
        Whether ``CLOSE`` cuts the requests in progress.
    """

    kind: str
    endpoint_id: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    aborts_work: bool = False
