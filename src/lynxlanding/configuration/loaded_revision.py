"""Verified revision with all its objects."""

import dataclasses

from lynxlanding.configuration import revision, snapshot


@dataclasses.dataclass(slots=True, frozen=True)
class LoadedRevision:
    """A revision with its manifest and all its objects.

    Parameters
    ----------
    digest : str
        Digest of the revision; empty for revision 0.
    document : dict or None
        The revision as stored, to be sent to other nodes; None for revision 0.
    revision : Revision or None
        The decoded revision; None for revision 0.
    manifest : dict of str to str
        Part digest by ``kind/name``.
    snapshot : Snapshot
        All objects.
    """

    digest: str
    document: dict | None
    revision: revision.Revision | None
    manifest: dict
    snapshot: snapshot.Snapshot

    @property
    def number(self):
        """Revision number."""
        return self.snapshot.revision


def empty():
    """Return revision 0."""
    return LoadedRevision("", None, None, {}, snapshot.empty())
