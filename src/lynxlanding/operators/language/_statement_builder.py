"""Builds queries and commands from the parse tree."""

import datetime
import json

import lark

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import commands, conditions, located_value, query

_CONSTANTS = {"true": True, "false": False, "none": None}


@lark.v_args(inline=True)
class StatementBuilder(lark.Transformer):
    """Transforms the parse tree into statements; raises ``StatementError``.

    Each method handles the grammar rule or alias of the same name.
    """

    def start(self, *statements):
        """Return the statements, without the placeholder of the optional last semicolon."""
        return [statement for statement in statements if statement is not None]

    # Queries

    def query(self, head, clauses):
        """Combine the head of a query with its clauses."""
        verb, fields, source = head
        where, group_by, order_by, limit = clauses
        return query.Query(verb, source, fields, where, group_by or (), order_by or (), limit)

    def show_all(self, source):
        """Return the head of a ``show`` of every column."""
        return query.SHOW, (), source

    def show_fields(self, fields, source):
        """Return the head of a ``show`` of named columns."""
        return query.SHOW, fields, source

    def count(self, source):
        """Return the head of a ``count``."""
        return query.COUNT, (), source

    def aggregate(self, verb, field, source):
        """Return the head of an aggregate query."""
        return str(verb), (field,), source

    def tail(self, where, group_by, order_by, limit):
        """Return the optional clauses; None for each absent one."""
        return where, group_by, order_by, limit

    def where(self, condition):
        """Return the condition of the ``where`` clause."""
        return condition

    def group_by(self, fields):
        """Return the columns to group by."""
        return fields

    def order_by(self, *orders):
        """Return the columns to sort by."""
        return orders

    def order(self, field, direction):
        """Return one column to sort by and whether the order is descending."""
        return field, direction == "desc"

    def limit(self, token):
        """Return the maximum number of rows."""
        return _integer(token)

    def fields(self, *fields):
        """Return column names."""
        return fields

    def source(self, token):
        """Return the name of a table."""
        return _located_text(token)

    def field(self, token):
        """Return the name of a column."""
        return _located_text(token)

    def or_condition(self, *parts):
        """Return a disjunction."""
        return conditions.Or(parts)

    def and_condition(self, *parts):
        """Return a conjunction."""
        return conditions.And(parts)

    def negation(self, part):
        """Return a negation."""
        return conditions.Not(part)

    def comparison(self, field, operator, value):
        """Return a comparison."""
        return conditions.Comparison(field, str(operator), (value,))

    def like(self, field, token):
        """Return a comparison with a wildcard pattern."""
        return conditions.Comparison(field, "like", (self.text(token),))

    def membership(self, field, *values):
        """Return a test for membership in a list of values."""
        return conditions.Comparison(field, "in", values)

    # Commands

    def create_object(self, kind, name, fields):
        """Return a command that creates an object."""
        return commands.CreateObject(kind, name, fields)

    def set_fields(self, kind, name, fields):
        """Return a command that sets fields of an object."""
        return commands.SetFields(kind, name, fields)

    def delete_object(self, kind, name):
        """Return a command that deletes an object."""
        return commands.DeleteObject(kind, name)

    def drain_endpoint(self, address, reason):
        """Return a command that drains an endpoint."""
        text = "" if reason is None else self.text(reason).value
        return commands.DrainEndpoint(_located_text(address), text)

    def undrain_endpoint(self, address):
        """Return a command that cancels the drain of an endpoint."""
        return commands.UndrainEndpoint(_located_text(address))

    def scale_group(self, name, replicas):
        """Return a command that changes the number of replicas."""
        return commands.ScaleGroup(name, _located_integer(replicas))

    def change_version(self, model, version):
        """Return a command that changes the version of a model."""
        return commands.ChangeVersion(model, version)

    def schedule_winddown(self, model, date, steps):
        """Return a command that schedules a wind-down."""
        return commands.ScheduleWinddown(model, self.datetime(date), steps or ())

    def cancel_winddown(self, model):
        """Return a command that cancels a wind-down."""
        return commands.CancelWinddown(model)

    def steps(self, *steps):
        """Return the steps of a wind-down."""
        return steps

    def step(self, at, replicas):
        """Return one step of a wind-down."""
        return self.datetime(at), _located_integer(replicas)

    def kind(self, token):
        """Return the name of a kind."""
        return _located_text(token)

    def name(self, token):
        """Return the name of an object."""
        if token.type == "STRING":
            return self.text(token)
        return _located_text(token)

    def assignments(self, *assignments):
        """Return the assignments."""
        return assignments

    def assignment(self, field, _equals, value):
        """Return one assignment."""
        return _located_text(field), value

    # Values

    def text(self, token):
        """Return a quoted string without its quotes and escapes."""
        try:
            return located_value.LocatedValue(json.loads(token), token.line, token.column)
        except ValueError as e:
            raise operator_errors.StatementError(
                token.line, token.column, f"invalid escape sequence in {token}"
            ) from e

    def number(self, token):
        """Return a number."""
        value = float(token)
        if value.is_integer() and str(token).lstrip("-").isdigit():
            value = int(token)
        return located_value.LocatedValue(value, token.line, token.column)

    def datetime(self, token):
        """Return a timestamp; a time without an offset is UTC."""
        try:
            timestamp = datetime.datetime.fromisoformat(str(token))
        except ValueError as e:
            raise operator_errors.StatementError(
                token.line, token.column, f"{token} is not a time: {e}"
            ) from e
        if timestamp.tzinfo is None:
            timestamp = timestamp.replace(tzinfo=datetime.UTC)
        return located_value.LocatedValue(timestamp, token.line, token.column)

    def word(self, token):
        """Return an unquoted word; ``true``, ``false`` and ``none`` are constants."""
        return located_value.LocatedValue(
            _CONSTANTS.get(str(token), str(token)), token.line, token.column
        )

    @lark.v_args(inline=False, meta=True)
    def list(self, meta, values):
        """Return a list of values."""
        items = tuple(value.value for value in values if value is not None)
        return located_value.LocatedValue(items, meta.line, meta.column)

    @lark.v_args(inline=False, meta=True)
    def map(self, meta, assignments):
        """Return a map."""
        entries = {field.value: value.value for field, value in assignments}
        return located_value.LocatedValue(entries, meta.line, meta.column)


def _located_text(token):
    return located_value.LocatedValue(str(token), token.line, token.column)


def _integer(token):
    return _located_integer(token).value


def _located_integer(token):
    if not str(token).isdigit():
        raise operator_errors.StatementError(
            token.line,
            token.column,
            f"unexpected {str(token)!r}",
            ("a whole number of at least 0",),
        )
    return located_value.LocatedValue(int(token), token.line, token.column)
