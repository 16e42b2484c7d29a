"""Evaluates queries on a cluster view."""

import datetime
import fnmatch
import operator
import types
import typing

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import conditions, query, result, tables

_OPERATORS = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
_TYPE_DESCRIPTIONS = {
    str: "a name or quoted text",
    int: "a number",
    float: "a number",
    bool: "true or false",
    datetime.datetime: "a time such as 2027-06-30T00:00:00Z",
}


def evaluate(statement, view):
    """Evaluate a query.

    Parameters
    ----------
    statement : Query
        The query.
    view : ClusterView
        Tables to query.

    Returns
    -------
    QueryResult
        The resulting table. Rows keep the order of the view unless the query sorts them; missing
        values (none) come last in both directions.

    Raises
    ------
    errors.operators.StatementError
        If a table or column does not exist, or a value has the wrong type.
    """
    table = tables.find_table(statement.source)
    columns = table.columns()
    check_query(statement)
    matching_rows = []
    for row in table.select_rows(view):
        if statement.where is None or _matches(statement.where, row):
            matching_rows.append(row)
    if statement.verb == query.SHOW:
        names = [field.value for field in statement.fields] or list(columns)
        # Rows are sorted before the projection because a query may sort by columns not shown.
        for field, descending in reversed(statement.order_by):
            name = field.value
            matching_rows = _sort_missing_last(
                matching_rows, lambda row, name=name: getattr(row, name), descending
            )
        values = [tuple(getattr(row, name) for name in names) for row in matching_rows]
    else:
        names, values = _aggregate(statement, matching_rows)
        for field, descending in reversed(statement.order_by):
            index = names.index(field.value)
            values = _sort_missing_last(values, lambda row, index=index: row[index], descending)
    if statement.limit is not None:
        values = values[: statement.limit]
    return result.QueryResult(tuple(names), tuple(values))


def check_query(statement):
    """Check the names and types in a query without evaluating it; raises ``StatementError``."""
    columns = tables.find_table(statement.source).columns()
    for field in (*statement.fields, *statement.group_by):
        _check_column(field, columns)
    if statement.verb == query.SHOW:
        if statement.group_by:
            raise operator_errors.StatementError(
                statement.group_by[0].line,
                statement.group_by[0].column,
                "'group by' needs a value for each group; use 'count' or 'sum FIELD of'",
            )
        sortable_columns = columns
    else:
        names = [field.value for field in statement.group_by]
        sortable_columns = dict.fromkeys([*names, _aggregate_column(statement)])
        if statement.verb != query.COUNT:
            _check_numeric(statement.fields[0], columns)
    for field, _ in statement.order_by:
        _check_column(field, sortable_columns)
    if statement.where is not None:
        _check_condition(statement.where, columns)


def _check_column(field, columns):
    if field.value not in columns:
        raise tables.unknown_name_error("column", field, columns)


def _check_numeric(field, columns):
    if _without_none(columns[field.value]) not in (int, float):
        numeric = [
            name
            for name, column_type in columns.items()
            if _without_none(column_type) in (int, float)
        ]
        raise operator_errors.StatementError(
            field.line, field.column, f"column {field.value!r} is not a number", sorted(numeric)
        )


def _check_condition(condition, columns):
    if isinstance(condition, conditions.And | conditions.Or):
        for part in condition.parts:
            _check_condition(part, columns)
        return
    if isinstance(condition, conditions.Not):
        _check_condition(condition.part, columns)
        return
    _check_column(condition.field, columns)
    column_type = _without_none(columns[condition.field.value])
    if condition.operator == "like" and column_type is not str:
        raise operator_errors.StatementError(
            condition.field.line,
            condition.field.column,
            f"'like' compares texts, but column {condition.field.value!r} is"
            f" {_TYPE_DESCRIPTIONS[column_type]}",
        )
    for value in condition.values:
        if value.value is None and condition.operator in ("=", "!=", "in"):
            continue
        if not _has_type(value.value, column_type):
            raise operator_errors.StatementError(
                value.line,
                value.column,
                f"column {condition.field.value!r} cannot be compared with {value.value!r}",
                (_TYPE_DESCRIPTIONS[column_type],),
            )


def _has_type(value, column_type):
    if column_type in (int, float):
        return isinstance(value, int | float) and not isinstance(value, bool)
    return isinstance(value, column_type)


def _without_none(column_type):
    if isinstance(column_type, types.UnionType):
        return next(part for part in typing.get_args(column_type) if part is not types.NoneType)
    return column_type


def _matches(condition, row):
    if isinstance(condition, conditions.And):
        return all(_matches(part, row) for part in condition.parts)
    if isinstance(condition, conditions.Or):
        return any(_matches(part, row) for part in condition.parts)
    if isinstance(condition, conditions.Not):
        return not _matches(condition.part, row)
    actual = getattr(row, condition.field.value)
    if condition.operator == "in":
        return actual in [value.value for value in condition.values]
    expected = condition.values[0].value
    if condition.operator == "like":
        return fnmatch.fnmatchcase(actual, expected)
    if actual is None and condition.operator not in ("=", "!="):
        return False
    return _OPERATORS[condition.operator](actual, expected)


def _sort_missing_last(items, key, descending):
    present = [item for item in items if key(item) is not None]
    missing = [item for item in items if key(item) is None]
    present.sort(key=key, reverse=descending)
    return present + missing


def _aggregate_column(statement):
    if statement.verb == query.COUNT:
        return query.COUNT
    return f"{statement.verb}_{statement.fields[0].value}"


def _aggregate(statement, matching_rows):
    group_columns = [field.value for field in statement.group_by]
    rows_by_key = {}
    if not group_columns:
        rows_by_key[()] = []
    for row in matching_rows:
        key = tuple(getattr(row, name) for name in group_columns)
        rows_by_key.setdefault(key, []).append(row)
    values = []
    for key, group_rows in rows_by_key.items():
        values.append((*key, _aggregate_value(statement, group_rows)))
    return [*group_columns, _aggregate_column(statement)], values


def _aggregate_value(statement, group_rows):
    if statement.verb == query.COUNT:
        return len(group_rows)
    numbers = []
    for row in group_rows:
        value = getattr(row, statement.fields[0].value)
        if value is not None:
            numbers.append(value)
    if statement.verb == "sum":
        return sum(numbers)
    if not numbers:
        return None
    if statement.verb == "avg":
        return sum(numbers) / len(numbers)
    return min(numbers) if statement.verb == "min" else max(numbers)
