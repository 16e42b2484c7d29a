"""Next steps of a rolling version or adapter change."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class VersionChangePlan:
    """Actions that are permitted now for one specification.

    Parameters
    ----------
    changing : frozenset of str
        Names of the groups that may drain and change now.
    surge : int
        Number of groups with the new version to form in addition to the desired ones.
    remaining : int
        Number of groups that still have the old version.
    warning : str
        Reason why the change cannot proceed; empty if it can.
    """

    changing: frozenset[str] = frozenset()
    surge: int = 0
    remaining: int = 0
    warning: str = ""
