"""Accepted revision of the configuration."""

import dataclasses

from lynxlanding.configuration import encoding
from lynxlanding.errors import configuration as configuration_errors


@dataclasses.dataclass(slots=True, frozen=True)
class Revision:
    """An immutable revision, stored as ``config-revisions/{digest}``.

    The manifest is a separate part. This keeps revisions small, so that a long history can be
    listed; a peer that holds the parent needs only ``changed``.

    Parameters
    ----------
    number : int
        Revision number, one above the parent's.
    parent : str
        Digest of the parent; empty for revision 1.
    change_id : str
        Id of the change that created the revision.
    request : str
        Digest of the submitted puts and deletes; detects the reuse of a change id.
    author : str
        Submitter of the change.
    time : float
        Commit time in UNIX seconds, by the clock of the committing node; never below the parent's.
    statements : tuple of str
        Operator statements, recorded in the history.
    changed : dict of str to (str or None)
        Part digest by ``kind/name``; None for a deleted object.
    manifest : str
        Digest of the manifest part.
    """

    number: int
    parent: str
    change_id: str
    request: str
    author: str
    time: float
    statements: tuple
    changed: dict
    manifest: str

    def to_document(self):
        """Return the JSON value of the store object."""
        return {
            "revision": self.number,
            "parent": self.parent,
            "change_id": self.change_id,
            "request": self.request,
            "author": self.author,
            "time": self.time,
            "statements": list(self.statements),
            "changed": dict(self.changed),
            "manifest": self.manifest,
        }


def from_document(document, digest):
    """Verify and decode a revision; raises ``InvalidObject``."""
    path = f"config-revisions/{digest}"
    if encoding.digest(document) != digest:
        raise configuration_errors.InvalidObject(path, "the value does not match its digest")
    try:
        return Revision(
            document["revision"],
            document["parent"],
            document["change_id"],
            document["request"],
            document["author"],
            document["time"],
            tuple(document["statements"]),
            document["changed"],
            document["manifest"],
        )
    except (KeyError, TypeError) as e:
        raise configuration_errors.InvalidObject(path, f"malformed: {e!r}") from e
