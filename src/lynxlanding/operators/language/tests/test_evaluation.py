import datetime

import pytest

from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import evaluation, parsing
from lynxlanding.operators.view import cluster_view, rows


def _group_row(name, place, state, stranded):
    return rows.GroupRow(name, "m", "v1", place, "f", 1, state, 4, 0, 32, stranded, 7.0)


def _workspace_row(name, owed, until):
    return rows.WorkspaceRow(name, owed, 0.0, until, 1)


VIEW = cluster_view.ClusterView(
    "n1",
    7,
    groups=(
        _group_row("a", "east", rows.INCOMPLETE, 24),
        _group_row("b", "west", rows.SERVING, 0),
        _group_row("c", "east", rows.INCOMPLETE, 8),
        _group_row("d", "west", rows.INCOMPLETE, 16),
    ),
    workspaces=(
        _workspace_row("north", 5.0, datetime.datetime(2027, 6, 30, tzinfo=datetime.UTC)),
        _workspace_row("south", 9.0, None),
    ),
)


def _query_rows(text):
    (statement,) = parsing.parse_queries(text)
    return evaluation.evaluate(statement, VIEW).rows


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("show group of stranded", (("a",), ("c",), ("d",))),
        ("show group of groups where state = serving", (("b",),)),
        ("show group of groups where not state = serving and place = west", (("d",),)),
        ("show group of groups where place = west or group = a", (("a",), ("b",), ("d",))),
        ('show group of groups where group in (a, d) and place like "e*"', (("a",),)),
        ("sum stranded_accelerators of stranded", ((48,),)),
        ("sum stranded_accelerators of groups where group = z", ((0,),)),
        ("max stranded_s of groups where group = z", ((None,),)),
        ("count stranded group by place order by count desc", (("east", 2), ("west", 1))),
        ("avg stranded_accelerators of stranded group by place", (("east", 16.0), ("west", 16.0))),
        ("show group of groups order by place desc, group limit 3", (("b",), ("d",), ("a",))),
        ("show workspace of workspaces order by until", (("north",), ("south",))),
        ("show workspace of workspaces order by until desc", (("north",), ("south",))),
        ("show workspace of workspaces where until = none", (("south",),)),
        ("show workspace of workspaces where until <= 2027-06-30", (("north",),)),
        ("show workspace of workspaces where owed_requests_per_s > 5", (("south",),)),
    ],
)
def test_query_results(text, expected):
    assert _query_rows(text) == expected


@pytest.mark.parametrize(
    ("text", "column", "message_part"),
    [
        ("show servng", 6, "did you mean 'serving'"),
        ("show colour of serving", 6, "unknown column 'colour'"),
        ("show serving where plce = a", 20, "did you mean 'place'"),
        ("show serving where running = many", 30, "a number"),
        ("show serving where place = 3", 28, "a name or quoted text"),
        ('show serving where running like "3*"', 20, "'like' compares texts"),
        ("sum place of serving", 5, "is not a number"),
        ("count serving group by place order by running", 39, "one of count, place"),
        ("show serving group by place", 23, "use 'count'"),
        ("show nodes where uncertain = 1", 30, "true or false"),
    ],
)
def test_unknown_names_and_wrong_types_are_rejected(text, column, message_part):
    """Guards against a misspelled condition that silently matches no rows."""
    with pytest.raises(operator_errors.StatementError) as caught:
        _query_rows(text)
    assert caught.value.column == column
    assert message_part in str(caught.value)
