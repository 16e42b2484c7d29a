"""Result of one reconciliation."""

import dataclasses

from lynxlanding.groups import domain as domain_module


@dataclasses.dataclass(slots=True, frozen=True)
class ReconcilePlan:
    """The next domain object.

    Parameters
    ----------
    domain : Domain or None
        Object to store, with the old lease; None if nothing changes.
    changes : tuple of str
        One line of text for each change.
    """

    domain: domain_module.Domain | None
    changes: tuple[str, ...] = ()
