"""Typed query."""

import dataclasses

from lynxlanding.operators.language import located_value

SHOW = "show"
COUNT = "count"


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """One query.

    Parameters
    ----------
    verb : {"show", "count", "sum", "avg", "min", "max"}
        What is returned for each row or group.
    source : Word
        Name of the table.
    fields : tuple of Word
        Columns for ``show`` (empty means all), the aggregated column otherwise.
    where : Comparison, And, Or, Not or None
        Filter.
    group_by : tuple of Word
        Columns that form the groups.
    order_by : tuple of (Word, bool)
        Columns with True for descending.
    limit : int or None
        Largest number of rows.
    """

    verb: str
    source: located_value.Word
    fields: tuple[located_value.Word, ...] = ()
    where: object = None
    group_by: tuple[located_value.Word, ...] = ()
    order_by: tuple[tuple[located_value.Word, bool], ...] = ()
    limit: int | None = None
