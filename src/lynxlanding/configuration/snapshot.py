"""Snapshot of the configuration objects of one revision."""

import dataclasses

from lynxlanding.configuration import kinds


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """All objects of one accepted revision; immutable.

    Parameters
    ----------
    revision : int
        Number of the revision; 0 is the empty configuration.
    digest : str
        Digest of the revision; empty for revision 0.
    objects : dict of str to dict of str to Spec
        Objects by kind and name.
    """

    revision: int
    digest: str
    objects: dict

    def of_kind(self, kind):
        """Return the objects of a kind, by name."""
        return self.objects.get(kind, {})


def empty():
    """Return the snapshot of revision 0."""
    return Snapshot(0, "", {kind: {} for kind in kinds.SPEC_BY_KIND})
