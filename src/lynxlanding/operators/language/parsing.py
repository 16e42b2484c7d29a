"""Parses statement texts into typed statements."""

import pathlib

import lark

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import _statement_builder, query

_GRAMMAR = pathlib.Path(__file__).with_name("statements.lark").read_text(encoding="utf-8")
_PARSER = lark.Lark(_GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=True)

_TERMINAL_NAMES = {
    "$END": "the end of the text",
    "ADDRESS": "an address such as 10.0.0.4:8000",
    "AGGREGATE": "'sum', 'avg', 'min' or 'max'",
    "COMPARISON": "a comparison (=, !=, <, <=, >, >=)",
    "DATETIME": "a time such as 2027-06-30T00:00:00Z",
    "NAME": "a name",
    "NUMBER": "a number",
    "STRING": 'a text in double quotes such as "rack work"',
}
# A longer text could keep the node's parser busy for seconds.
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
        raise _unexpected_token(text, e) from e
    except lark.exceptions.UnexpectedCharacters as e:
        reason = f"unexpected character {text[e.pos_in_stream]!r}"
        raise operator_errors.StatementError(
            e.line, e.column, reason, _describe(e.allowed or ())
        ) from e
    _refuse_mixture(tree)
    try:
        return _statement_builder.StatementBuilder().transform(tree)
    except lark.exceptions.VisitError as e:
        if isinstance(e.orig_exc, operator_errors.StatementError):
            raise e.orig_exc from e
        raise
    except RecursionError as e:
        raise operator_errors.StatementError(1, 1, "the text is nested too deeply") from e


def parse_queries(text):
    """Parse a text that holds queries only; raises ``StatementError``."""
    statements = parse(text)
    if not isinstance(statements[0], query.Query):
        raise operator_errors.StatementError(
            1, 1, "this is a command; submit commands with 'lynxctl apply FILE'", ("a query",)
        )
    return statements


def parse_commands(text):
    """Parse a text that holds commands only; raises ``StatementError``."""
    statements = parse(text)
    if isinstance(statements[0], query.Query):
        raise operator_errors.StatementError(
            1, 1, "this is a query; run queries with 'lynxctl query TEXT'", ("a command",)
        )
    return statements


def _refuse_mixture(tree):
    first = None
    for statement in tree.children:
        if statement is None:
            continue
        is_query = statement.data == "query"
        if first is None:
            first = is_query
        if is_query != first:
            raise operator_errors.StatementError(
                statement.meta.line,
                statement.meta.column,
                "the text mixes queries with commands; put them in separate texts",
                ("a query" if first else "a command",),
            )


def _unexpected_token(text, error):
    expected = _describe(error.accepts or error.expected)
    if error.token.type == "$END":
        stripped = text.rstrip()
        line = stripped.count("\n") + 1
        column = len(stripped) - (stripped.rfind("\n") + 1) + 1
        return operator_errors.StatementError(line, column, "the text ends too early", expected)
    return operator_errors.StatementError(
        error.token.line, error.token.column, f"unexpected {str(error.token)!r}", expected
    )


def _describe(terminals):
    described = set()
    for name in terminals:
        known = _TERMINAL_NAMES.get(name)
        described.add(known if known is not None else _literal(name))
    return tuple(sorted(described))


def _literal(name):
    pattern = _PARSER.get_terminal(name).pattern
    return f"'{pattern.value}'"
