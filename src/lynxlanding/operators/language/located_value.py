"""Names and values of a statement with their position in the text."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class LocatedValue:
    """A name or value with its position in the text, which error messages report.

    Parameters
    ----------
    value : Any
        The name or the parsed value.
    line, column : int
        Position in the text, starting at 1; ignored by comparisons.
    """

    value: Any
    line: int = dataclasses.field(default=1, compare=False)
    column: int = dataclasses.field(default=1, compare=False)
