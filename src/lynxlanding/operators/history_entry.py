"""One accepted change."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryEntry:
    """An accepted change as the history shows it.

    Parameters
    ----------
    revision : int
        Revision that the change created.
    change_id : str
        Id made by the client.
    author : str
        Who submitted the change.
    accepted_at : float
        Unix time in seconds.
    statements : str
        Text of the statements.
    """

    revision: int
    change_id: str
    author: str
    accepted_at: float
    statements: str
