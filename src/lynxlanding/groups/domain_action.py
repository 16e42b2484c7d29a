"""What a node does next for one domain."""

import dataclasses

from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import engine_order


@dataclasses.dataclass(slots=True, frozen=True)
class DomainAction:
    """A write or orders for one domain.

    Parameters
    ----------
    name : str
        Fabric domain.
    write : Domain or None
        Object to store by conditional update.
    version : int or None
        Version to update; None creates the object.
    changes : tuple of str
        What the write changes.
    orders : tuple of EngineOrder
        Orders to deliver.
    """

    name: str
    write: domain_module.Domain | None
    version: int | None
    changes: tuple[str, ...]
    orders: tuple[engine_order.EngineOrder, ...]
