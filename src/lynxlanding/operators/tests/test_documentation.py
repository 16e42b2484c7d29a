"""Runs the examples of docs/query-language.md and compares its tables with the code."""

import pathlib
import re

import pytest

from lynxlanding.configuration import snapshot, specs
from lynxlanding.operators import exit_codes
from lynxlanding.operators.language import difference, evaluation, parsing, tables, translation
from lynxlanding.operators.tests import example_view

PAGE = pathlib.Path(__file__).parents[4].joinpath("docs", "query-language.md").read_text("utf-8")
DIGEST = "a" * 64
BASE = snapshot.Snapshot(
    11,
    "",
    {
        "workspaces": {"desk": specs.WorkspaceSpec(token_sha256=(DIGEST,))},
        "models": {
            "desk-model": specs.ModelSpec(version="v1"),
            "old-model": specs.ModelSpec(version="o1"),
        },
        "versions": {
            "v1": specs.VersionSpec(model="desk-model", weights="desk/v1"),
            "v2": specs.VersionSpec(model="desk-model", weights="desk/v2"),
            "o1": specs.VersionSpec(model="old-model", weights="old/v1"),
        },
        "groups": {
            "desk-group": specs.GroupSpec(model="desk-model", replicas=12),
            "old-group": specs.GroupSpec(model="old-model", replicas=0),
        },
        "drains": {"d": specs.DrainSpec(address="10.0.0.9:8000")},
        "winddowns": {"old-model": specs.WinddownSpec(model="old-model", date="2027-01-01")},
    },
)


def _examples(language):
    return re.findall(rf"^```{language}\n(.*?)^```$", PAGE, flags=re.MULTILINE | re.DOTALL)


def _table(header):
    """Return the cells of the page's table with this header row."""
    lines = PAGE.splitlines()
    rows = []
    for line in lines[lines.index(header) + 2 :]:
        if not line.startswith("|"):
            return rows
        rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


@pytest.mark.parametrize("text", _examples("query"))
def test_query_examples(text):
    """Guards against examples that are refused or that match nothing."""
    for statement in parsing.parse_queries(text):
        assert evaluation.evaluate(statement, example_view.VIEW).rows


@pytest.mark.parametrize("text", _examples("change"))
def test_change_examples(text):
    change = translation.translate(parsing.parse_commands(text), BASE)
    assert difference.compare(BASE, change)


def test_all_examples_were_found():
    """Guards against fences that the expressions above do not match."""
    assert len(_examples("query")) + len(_examples("change")) == PAGE.count("\n```") / 2


def test_tables_are_documented():
    documented = {}
    for names, _, columns in _table("| table | rows | columns |"):
        for name in re.findall(r"`(\w+)`", names):
            documented[name] = columns.split(", ")
    actual = {name: list(table.columns()) for name, table in tables.TABLES.items()}
    assert documented == actual


def test_exit_codes_are_documented():
    documented = {row[1]: int(row[0]) for row in _table("| code | name | meaning |")}
    actual = {name: value for name, value in vars(exit_codes).items() if name.isupper()}
    assert documented == actual
