"""Result of a watch call."""

import dataclasses

from lynxlanding.store import stored_object


@dataclasses.dataclass(slots=True, frozen=True)
class WatchBatch:
    """Changes to the objects of one kind since a version.

    Deletions come before writes: an object that is in both was deleted and then created again.

    Parameters
    ----------
    puts : list of StoredObject
        Every creation and update since the last deletion of the object, oldest first. An object may
        occur several times, because a later write may hide what an earlier one has announced.
    deletes : list of str
        Names of objects that were deleted.
    version : int
        Version from which to continue watching.
    """

    puts: list[stored_object.StoredObject]
    deletes: list[str]
    version: int
