"""The one mutable configuration object of the store."""

import dataclasses

from lynxlanding.errors import configuration as configuration_errors

# Change ids kept in the head, so that a repeated submission is usually recognised without
# reading the revision chain. 256 ids of 64 bytes keep the head near 20 KB.
KEPT_CHANGES = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """The accepted revision, as in ``config-head/current``.

    Parameters
    ----------
    number : int
        Revision number; 0 before the first change.
    digest : str
        SHA-256 of the revision object; empty at revision 0.
    changes : tuple of (str, int, float)
        Id, revision number and time (UNIX seconds) of the last accepted changes, oldest first.
    collection : int
        Number of garbage collections that were started.
    """

    number: int = 0
    digest: str = ""
    changes: tuple = ()
    collection: int = 0

    def successor(self, number, digest, change_id, time):
        """Return the head that accepts one more change."""
        changes = (*self.changes, (change_id, number, time))[-KEPT_CHANGES:]
        return Head(number, digest, changes, self.collection)

    def to_document(self):
        """Return the JSON value of the store object."""
        return {
            "revision": self.number,
            "digest": self.digest,
            "changes": [list(change) for change in self.changes],
            "collection": self.collection,
        }


def from_document(document):
    """Return the head that a store object holds; raises ``InvalidObject``."""
    try:
        changes = []
        for change_id, number, time in document["changes"]:
            changes.append((str(change_id), int(number), float(time)))
        return Head(
            int(document["revision"]),
            str(document["digest"]),
            tuple(changes),
            int(document["collection"]),
        )
    except (KeyError, TypeError, ValueError) as e:
        raise configuration_errors.InvalidObject("config-head/current", f"malformed: {e!r}") from e
