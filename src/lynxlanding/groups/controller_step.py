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
        Object to store by conditional update before anything else.
    changes : tuple of str
        What the write changes, one line of text each.
    orders : tuple of EngineOrder
        Orders to send; empty while a write is pending.
    waits_for_lease : bool
        Whether there is work, but another node's lease may be valid.
    """

    write: domain_module.Domain | None = None
    changes: tuple[str, ...] = ()
    orders: tuple[engine_order.EngineOrder, ...] = ()
    waits_for_lease: bool = False
