"""A change as it goes to the commit."""

import dataclasses

from lynxlanding.operators.language import translation


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeRequest:
    """One change with its origin.

    Parameters
    ----------
    change_id : str
        Id made by the client; a repeat carries the same id.
    author : str
        Who submitted the change.
    statements : str
        Text of the statements, for the history.
    base_revision : int
        Revision that the change was made from. If a later revision changed one of the same
        objects, the commit raises ``RevisionConflict``.
    change : ConfigurationChange
        Puts and deletes.
    """

    change_id: str
    author: str
    statements: str
    base_revision: int
    change: translation.ConfigurationChange
