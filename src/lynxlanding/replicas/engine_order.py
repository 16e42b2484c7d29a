"""Orders that a node sends to engines."""

import dataclasses

JOIN = "join"
OPEN = "open"
CLOSE = "close"
LEAVE = "leave"
STAGE = "stage"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to a single engine.

    Parameters
    ----------
    kind : str
        ``JOIN``, ``OPEN``, ``CLOSE``, ``LEAVE`` or ``STAGE``.
    endpoint_id : str
        Id of the engine that receives the order.
    group : str
        Name of the group; empty for ``STAGE``.
    epoch : int
        Epoch of the group.
    model : str
        Model of the group to join, or model to stage.
    members : tuple of str
        Endpoint ids of the group's members for ``JOIN``, head first.
    aborts_work : bool
        Whether ``CLOSE`` aborts the requests in progress.
    expected_orders : int or None
        Number of orders that the engine must have accepted before; it refuses the order if it has
        accepted others. None if that does not matter.
    """

    kind: str
    endpoint_id: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    members: tuple[str, ...] = ()
    aborts_work: bool = False
    expected_orders: int | None = None
