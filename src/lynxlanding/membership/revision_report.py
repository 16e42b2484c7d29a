"""Configuration revision that a node holds, attached to gossip requests and responses."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionReport:
    """A revision and the time since the store last confirmed it.

    Parameters
    ----------
    number : int
        Revision number.
    digest : str
        Digest of the revision.
    age_s : float or None
        Seconds since the store confirmed that this is the head revision; None if it never has.
    """

    number: int
    digest: str
    age_s: float | None
