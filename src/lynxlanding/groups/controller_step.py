"""Result of one step of a domain's controller."""

import dataclasses

from lynxlanding.groups import domain as domain_module
from lynxlanding.groups import engine_order


@dataclasses.dataclass(slots=True, frozen=True)
class ControllerStep:
    """What to do next for a domain.

    Parameters
    ----------
    write : Domain or None
        Object to store with a conditional update before anything else is done.
    changes : tuple of str
        Description of each change in the write, one line each.
    orders : tuple of EngineOrder
        Orders to send; empty while a write is pending.
    waits_for_lease : bool
        Whether there is work that has to wait because another node's lease may be valid.
    """

    write: domain_module.Domain | None = None
    changes: tuple[str, ...] = ()
    orders: tuple[engine_order.EngineOrder, ...] = ()
    waits_for_lease: bool = False
