"""One object of the platform's store."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """An object as the store returned it.

    Parameters
    ----------
    kind, name : str
        Identity of the object.
    version : int
        Version of the object; versions come from one counter over the whole store.
    value : Any
        JSON value.
    """

    kind: str
    name: str
    version: int
    value: Any
