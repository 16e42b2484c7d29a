"""Words of a statement with their position in the text."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class Word:
    """A name or value and where it stands, for messages.

    Parameters
    ----------
    value : Any
        The name, or the value as a Python object.
    line, column : int
        Position in the text, counted from 1.
    """

    value: Any
    line: int = dataclasses.field(default=1, compare=False)
    column: int = dataclasses.field(default=1, compare=False)
