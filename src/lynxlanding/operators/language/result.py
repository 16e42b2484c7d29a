"""Result of one query."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class QueryResult:
    """A table.

    Parameters
    ----------
    columns : tuple of str
        Column names.
    rows : tuple of tuple
        Values in the order of the columns.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
