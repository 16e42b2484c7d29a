"""Version of an object in a store that may come back from an older copy of itself."""

import dataclasses

from lynxlanding.errors import platform as platform_errors


@dataclasses.dataclass(slots=True, frozen=True)
class StoreVersion:
    """Revision of the store within one of its eras.

    A store that is restored from an older copy starts a new era and gives out revisions again, so
    revisions of two eras say nothing about each other.

    Parameters
    ----------
    era : int
        Era of the store in which the revision was read.
    revision : int
        Value of the store's revision counter.
    """

    era: int
    revision: int

    def __lt__(self, other):
        return self.revision < self._comparable_revision(other)

    def __le__(self, other):
        return self.revision <= self._comparable_revision(other)

    def __gt__(self, other):
        return self.revision > self._comparable_revision(other)

    def __ge__(self, other):
        return self.revision >= self._comparable_revision(other)

    def __str__(self):
        return f"{self.era}.{self.revision}"

    def _comparable_revision(self, other):
        if self.era != other.era:
            raise platform_errors.StoreRolledBack(
                f"version {self} cannot be compared with {other} of another era"
            )
        return other.revision
