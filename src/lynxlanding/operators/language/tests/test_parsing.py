import pytest

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import commands, parsing


@pytest.mark.parametrize(
    ("text", "line", "column", "expected"),
    [
        ("shw serving", 1, 1, "'show'"),
        ("show serving\n wher place = a", 2, 2, "'where'"),
        ("show serving where place 3", 1, 26, "'in'"),
        ("drain endpoint 10.0.0.1", 1, 16, "an address such as 10.0.0.4:8000"),
        ("scale group a to -3", 1, 18, "a whole number of at least 0"),
        ("scale group a to 1;\n\nscale group b to 2.5", 3, 18, "a whole number of at least 0"),
        ("show", 1, 5, "a name"),
        ("wind down model m on soon", 1, 22, "a time such as 2027-06-30T00:00:00Z"),
        ("show serving; delete group x", 1, 15, "a query"),
        ('create group a with model = "b', 1, 29, "a name"),
    ],
)
def test_error_reports_position_and_expected_tokens(text, line, column, expected):
    """Guards against error messages that do not locate the mistake."""
    with pytest.raises(operator_errors.StatementError) as caught:
        parsing.parse(text)
    assert (caught.value.line, caught.value.column) == (line, column)
    assert expected in caught.value.expected


@pytest.mark.parametrize("text", ["not " * 20_000, "(" * 20_000], ids=["not", "parentheses"])
def test_deeply_nested_text_is_rejected(text):
    """Guards against a statement that terminates a node's thread with a RecursionError."""
    closing = ")" * text.count("(")
    with pytest.raises(operator_errors.StatementError):
        parsing.parse(f"show serving where {text} place = a {closing} x")
    if not closing:
        with pytest.raises(operator_errors.StatementError):
            parsing.parse(f"show serving where {text} place = a")


def test_keyword_can_be_an_object_name():
    """Guards against objects that cannot be modified because their name is a keyword."""
    (statement,) = parsing.parse("scale group to to 3")
    assert statement.name.value == "to"


def test_multiple_statements_and_comments():
    statements = parsing.parse("# two\nscale group a to 1; # one\nscale group b to 2;\n")
    assert [type(statement) for statement in statements] == [commands.ScaleGroup] * 2


def test_queries_and_commands_are_parsed_separately():
    """Guards against a change that is submitted through the read-only query path."""
    with pytest.raises(operator_errors.StatementError, match="lynxctl apply"):
        parsing.parse_queries("delete group x")
    with pytest.raises(operator_errors.StatementError, match="lynxctl query"):
        parsing.parse_commands("show serving")
