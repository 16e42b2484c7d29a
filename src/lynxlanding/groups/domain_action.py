"""Next action of a node for one domain."""

import dataclasses

from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import engine_order


@dataclasses.dataclass(slots=True, frozen=True)
class DomainAction:
    """A write or a set of orders for one domain.

    Parameters
    ----------
    name : str
        Fabric domain.
    write : Domain or None
        Object to store with a conditional update.
    version : int or None
        Version that the update replaces; None to create the object.
    changes : tuple of str
        Description of each change in the write.
    orders : tuple of EngineOrder
        Orders to deliver.
    """

    name: str
    write: domain_module.Domain | None
    version: int | None
    changes: tuple[str, ...]
    orders: tuple[engine_order.EngineOrder, ...]
