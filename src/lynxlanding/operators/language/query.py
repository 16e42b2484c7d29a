"""Parsed query."""

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
        ``show`` returns columns of each row; the others return one value for each group.
    source : LocatedValue
        Name of the table.
    fields : tuple of LocatedValue
        Columns for ``show`` (empty means all), the aggregated column otherwise.
    where : Comparison, And, Or, Not or None
        Filter.
    group_by : tuple of LocatedValue
        Columns to group by.
    order_by : tuple of (LocatedValue, bool)
        Columns to sort by, each with True for descending order.
    limit : int or None
        Maximum number of rows.
    """

    verb: str
    source: located_value.LocatedValue
    fields: tuple[located_value.LocatedValue, ...] = ()
    where: object = None
    group_by: tuple[located_value.LocatedValue, ...] = ()
    order_by: tuple[tuple[located_value.LocatedValue, bool], ...] = ()
    limit: int | None = None
