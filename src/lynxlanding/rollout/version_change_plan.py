"""Next actions of a version or adapter change."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VersionChangePlan:
    """What may happen now for one specification.

    Parameters
    ----------
    changing : frozenset of str
        Groups that may drain and change now.
    surge : int
        Groups to form in addition to the desired ones, with the new version.
    remaining : int
        Groups that still have the old version.
    warning : str
        Why the change cannot go on; empty if it can.
    """

    changing: frozenset[str] = frozenset()
    surge: int = 0
    remaining: int = 0
    warning: str = ""
