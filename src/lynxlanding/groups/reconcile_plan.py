"""Result of one reconciliation."""

import dataclasses

from lynxlanding.groups import domain as domain_module


@dataclasses.dataclass(slots=True, frozen=True)
class ReconcilePlan:
    """Next domain object and its changes.

    Parameters
    ----------
    domain : Domain or None
        Object to store, with an unchanged lease; None if nothing changes.
    changes : tuple of str
        Description of each change, one line each.
    """

    domain: domain_module.Domain | None
    changes: tuple[str, ...] = ()
