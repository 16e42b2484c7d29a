"""Object in the platform's store."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """Object as returned by the store.

    Parameters
    ----------
    kind, name : str
        Kind and name, which together identify the object.
    version : int
        Version of the last write to the object, taken from one counter for the whole store.
    value : Any
        Decoded JSON value.
    """

    kind: str
    name: str
    version: int
    value: Any
