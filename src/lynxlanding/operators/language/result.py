"""Result of a query."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class QueryResult:
    """Table that a query returns.

    Parameters
    ----------
    columns : tuple of str
        Column names.
    rows : tuple of tuple
        Values of each row, in the order of the columns.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
