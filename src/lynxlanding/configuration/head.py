"""Head of the revision chain, the only mutable configuration object in the store."""

import dataclasses

from lynxlanding.configuration import encoding
from lynxlanding.errors import configuration as configuration_errors

# Recent change ids in the head; most repeated submissions are recognised without reading the
# revision chain. 256 ids of 64 bytes keep the head near 20 KB.
KEPT_CHANGES = 256
# Larger bundles are left out of the head, since every watcher reads it at every change.
MAX_BUNDLE_BYTES = 32_000


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """The accepted revision, stored as ``config-head/current``.

    Parameters
    ----------
    number : int
        Revision number; 0 before the first change.
    digest : str
        SHA-256 of the revision object; empty at revision 0.
    changes : tuple of (str, int, float)
        Id, revision number and time (UNIX seconds) of the last accepted changes, oldest first.
    collection : int
        Number of garbage collections started so far.
    bundle : dict or None
        Changes from the parent revision to this one (see ``revision_bundle``), if small. A watcher
        that holds the parent needs no further store call. While the store is slow this saves
        reading revision, manifest and parts one after the other.
    """

    number: int = 0
    digest: str = ""
    changes: tuple = ()
    collection: int = 0
    bundle: dict | None = None

    def successor(self, loaded, change_id, time, parts):
        """Return the next head, which accepts one more change.

        Parameters
        ----------
        loaded : LoadedRevision
            Revision of the change.
        change_id : str
            Id of the change.
        time : float
            UNIX seconds.
        parts : dict of str to dict
            Documents of the changed parts, by digest.
        """
        changes = (*self.changes, (change_id, loaded.number, time))[-KEPT_CHANGES:]
        bundle = {"revisions": [loaded.document], "manifest": None, "parts": parts}
        if len(encoding.canonical(bundle)) > MAX_BUNDLE_BYTES:
            bundle = None
        return Head(loaded.number, loaded.digest, changes, self.collection, bundle)

    def with_collection(self):
        """Return this head with its collection counter incremented."""
        return dataclasses.replace(self, collection=self.collection + 1)

    def to_document(self):
        """Return the JSON value of the store object."""
        return {
            "revision": self.number,
            "digest": self.digest,
            "changes": [list(change) for change in self.changes],
            "collection": self.collection,
            "bundle": self.bundle,
        }


def from_document(document):
    """Decode the head of a store object; raises ``InvalidObject``."""
    try:
        changes = []
        for change_id, number, time in document["changes"]:
            changes.append((str(change_id), int(number), float(time)))
        return Head(
            int(document["revision"]),
            str(document["digest"]),
            tuple(changes),
            int(document["collection"]),
            document["bundle"],
        )
    except (KeyError, TypeError, ValueError) as e:
        raise configuration_errors.InvalidObject("config-head/current", f"malformed: {e!r}") from e
