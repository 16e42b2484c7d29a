"""Parses the text of statements into queries or commands."""

import pathlib

import lark

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import _statement_builder, query

_GRAMMAR = pathlib.Path(__file__).with_name("statements.lark").read_text(encoding="utf-8")
_PARSER = lark.Lark(_GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=True)

_TERMINAL_DESCRIPTIONS = {
    "$END": "the end of the text",
    "ADDRESS": "an address such as 10.0.0.4:8000",
    "AGGREGATE": "'sum', 'avg', 'min' or 'max'",
    "COMPARISON": "a comparison (=, !=, <, <=, >, >=)",
    "DATETIME": "a time such as 2027-06-30T00:00:00Z",
    "NAME": "a name",
    "NUMBER": "a number",
    "STRING": 'a text in double quotes such as "rack work"',
}
# Parsing a longer text could occupy the node for seconds.
MAX_TEXT_CHARACTERS = 1 << 20


def parse(text):
    """Parse a text into statements.

    Parameters
    ----------
    text : str
        Statements separated by semicolons.

    Returns
    -------
    list
        Queries (``query.Query``) or commands (``commands``), in order.

    Raises
    ------
    errors.operators.StatementError
        If the text is invalid or mixes queries with commands.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise operator_errors.StatementError(
            1, 1, f"the text has more than {MAX_TEXT_CHARACTERS} characters"
        )
    try:
        tree = _PARSER.parse(text)
    except lark.exceptions.UnexpectedToken as e:
        raise _unexpected_token_error(text, e) from e
    except lark.exceptions.UnexpectedCharacters as e:
        reason = f"unexpected character {text[e.pos_in_stream]!r}"
        raise operator_errors.StatementError(
            e.line, e.column, reason, _describe_terminals(e.allowed or ())
        ) from e
    _reject_mixed_statements(tree)
    try:
        return _statement_builder.StatementBuilder().transform(tree)
    except lark.exceptions.VisitError as e:
        if isinstance(e.orig_exc, operator_errors.StatementError):
            raise e.orig_exc from e
        raise
    except RecursionError as e:
        raise operator_errors.StatementError(1, 1, "the text is nested too deeply") from e


def parse_queries(text):
    """Parse a text that contains only queries; raises ``StatementError`` for commands."""
    statements = parse(text)
    if not isinstance(statements[0], query.Query):
        raise operator_errors.StatementError(
            1, 1, "this is a command; submit commands with 'lynxctl apply FILE'", ("a query",)
        )
    return statements


def parse_commands(text):
    """Parse a text that contains only commands; raises ``StatementError`` for queries."""
    statements = parse(text)
    if isinstance(statements[0], query.Query):
        raise operator_errors.StatementError(
            1, 1, "this is a query; run queries with 'lynxctl query TEXT'", ("a command",)
        )
    return statements


def _reject_mixed_statements(tree):
    first_is_query = None
    for statement in tree.children:
        if statement is None:
            continue
        is_query = statement.data == "query"
        if first_is_query is None:
            first_is_query = is_query
        if is_query != first_is_query:
            raise operator_errors.StatementError(
                statement.meta.line,
                statement.meta.column,
                "the text mixes queries with commands; put them in separate texts",
                ("a query" if first_is_query else "a command",),
            )


def _unexpected_token_error(text, error):
    expected = _describe_terminals(error.accepts or error.expected)
    if error.token.type == "$END":
        stripped = text.rstrip()
        line = stripped.count("\n") + 1
        column = len(stripped) - (stripped.rfind("\n") + 1) + 1
        return operator_errors.StatementError(line, column, "the text ends too early", expected)
    return operator_errors.StatementError(
        error.token.line, error.token.column, f"unexpected {str(error.token)!r}", expected
    )


def _describe_terminals(terminals):
    descriptions = set()
    for name in terminals:
        description = _TERMINAL_DESCRIPTIONS.get(name)
        descriptions.add(description if description is not None else _describe_keyword(name))
    return tuple(sorted(descriptions))


def _describe_keyword(name):
    pattern = _PARSER.get_terminal(name).pattern
    return f"'{pattern.value}'"
