"""Result of a watch call."""

import dataclasses

from lynxlanding.store import stored_object


@dataclasses.dataclass(slots=True, frozen=True)
class WatchBatch:
    """Changes to the objects of one kind since a version.

    Parameters
    ----------
    puts : list of StoredObject
        Created and updated objects, oldest first.
    deletes : list of str
        Names of deleted objects.
    version : int
        Version from which to continue watching.
    """

    puts: list[stored_object.StoredObject]
    deletes: list[str]
    version: int
