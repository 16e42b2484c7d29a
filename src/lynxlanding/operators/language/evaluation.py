"""Evaluates queries over a cluster view."""

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
_TYPE_NAMES = {
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
        Rows of the cluster.

    Returns
    -------
    QueryResult
        The resulting table. Rows keep the order of the view unless the query orders them; missing
        values (none) come last in either direction.

    Raises
    ------
    errors.operators.StatementError
        If a table or column does not exist, or a value has the wrong type.
    """
    table = tables.find(statement.source)
    columns = table.columns()
    check(statement)
    selected = []
    for row in table.rows_of(view):
        if statement.where is None or _holds(statement.where, row):
            selected.append(row)
    if statement.verb == query.SHOW:
        names = [field.value for field in statement.fields] or list(columns)
        # Ordering may use columns that are not shown, so it comes before the projection.
        for field, descending in reversed(statement.order_by):
            name = field.value
            selected = _sorted(selected, lambda row, name=name: getattr(row, name), descending)
        values = [tuple(getattr(row, name) for name in names) for row in selected]
    else:
        names, values = _aggregate(statement, selected)
        for field, descending in reversed(statement.order_by):
            index = names.index(field.value)
            values = _sorted(values, lambda row, index=index: row[index], descending)
    if statement.limit is not None:
        values = values[: statement.limit]
    return result.QueryResult(tuple(names), tuple(values))


def check(statement):
    """Check names and types of a query without evaluating it; raises ``StatementError``."""
    columns = tables.find(statement.source).columns()
    for field in (*statement.fields, *statement.group_by):
        _check_column(field, columns)
    if statement.verb == query.SHOW:
        if statement.group_by:
            raise operator_errors.StatementError(
                statement.group_by[0].line,
                statement.group_by[0].column,
                "'group by' needs a value for each group; use 'count' or 'sum FIELD of'",
            )
        orderable = columns
    else:
        names = [field.value for field in statement.group_by]
        orderable = dict.fromkeys([*names, _aggregate_name(statement)])
        if statement.verb != query.COUNT:
            _check_number(statement.fields[0], columns)
    for field, _ in statement.order_by:
        _check_column(field, orderable)
    if statement.where is not None:
        _check_condition(statement.where, columns)


def _check_column(field, columns):
    if field.value not in columns:
        raise tables.unknown("column", field, columns)


def _check_number(field, columns):
    if _base_type(columns[field.value]) not in (int, float):
        numeric = [name for name, kind in columns.items() if _base_type(kind) in (int, float)]
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
    kind = _base_type(columns[condition.field.value])
    if condition.operator == "like" and kind is not str:
        raise operator_errors.StatementError(
            condition.field.line,
            condition.field.column,
            f"'like' compares texts, but column {condition.field.value!r} is {_TYPE_NAMES[kind]}",
        )
    for value in condition.values:
        if value.value is None and condition.operator in ("=", "!=", "in"):
            continue
        if not _fits(value.value, kind):
            raise operator_errors.StatementError(
                value.line,
                value.column,
                f"column {condition.field.value!r} cannot be compared with {value.value!r}",
                (_TYPE_NAMES[kind],),
            )


def _fits(value, kind):
    if kind in (int, float):
        return isinstance(value, int | float) and not isinstance(value, bool)
    return isinstance(value, kind)


def _base_type(kind):
    if isinstance(kind, types.UnionType):
        return next(part for part in typing.get_args(kind) if part is not types.NoneType)
    return kind


def _holds(condition, row):
    if isinstance(condition, conditions.And):
        return all(_holds(part, row) for part in condition.parts)
    if isinstance(condition, conditions.Or):
        return any(_holds(part, row) for part in condition.parts)
    if isinstance(condition, conditions.Not):
        return not _holds(condition.part, row)
    actual = getattr(row, condition.field.value)
    if condition.operator == "in":
        return actual in [value.value for value in condition.values]
    wanted = condition.values[0].value
    if condition.operator == "like":
        return fnmatch.fnmatchcase(actual, wanted)
    if actual is None and condition.operator not in ("=", "!="):
        return False
    return _OPERATORS[condition.operator](actual, wanted)


def _sorted(items, key, descending):
    present = [item for item in items if key(item) is not None]
    missing = [item for item in items if key(item) is None]
    present.sort(key=key, reverse=descending)
    return present + missing


def _aggregate_name(statement):
    if statement.verb == query.COUNT:
        return query.COUNT
    return f"{statement.verb}_{statement.fields[0].value}"


def _aggregate(statement, selected):
    group_names = [field.value for field in statement.group_by]
    members = {}
    if not group_names:
        members[()] = []
    for row in selected:
        key = tuple(getattr(row, name) for name in group_names)
        members.setdefault(key, []).append(row)
    values = []
    for key, group in members.items():
        values.append((*key, _aggregate_value(statement, group)))
    return [*group_names, _aggregate_name(statement)], values


def _aggregate_value(statement, group):
    if statement.verb == query.COUNT:
        return len(group)
    numbers = []
    for row in group:
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
