"""The newest revision that a node holds, carried by every exchange."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Mark:
    """A revision and the age of its confirmation by the store.

    Parameters
    ----------
    number : int
        Revision number.
    digest : str
        Digest of the revision.
    age_s : float or None
        Seconds since the store confirmed that this was the head; None if it never has.
    """

    number: int
    digest: str
    age_s: float | None
