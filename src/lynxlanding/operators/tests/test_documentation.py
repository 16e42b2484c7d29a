"""Runs the examples in docs/query-language.md and compares its reference tables with the code."""

import pathlib
import re

import pytest

from lynxlanding.configuration import snapshot, specs
from lynxlanding.operators import exit_codes
from lynxlanding.operators.language import difference, evaluation, parsing, tables, translation
from lynxlanding.operators.tests import example_view

PAGE = pathlib.Path(__file__).parents[4].joinpath("docs", "query-language.md").read_text("utf-8")
TOKEN_SHA256 = "a" * 64
BASE_SNAPSHOT = snapshot.Snapshot(
    11,
    "",
    {
        "workspaces": {"desk": specs.WorkspaceSpec(token_sha256=(TOKEN_SHA256,))},
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


def _find_examples(language):
    return re.findall(rf"^```{language}\n(.*?)^```$", PAGE, flags=re.MULTILINE | re.DOTALL)


def _read_table(header):
    """Return the cells of the Markdown table with the given header row."""
    lines = PAGE.splitlines()
    rows = []
    for line in lines[lines.index(header) + 2 :]:
        if not line.startswith("|"):
            return rows
        rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


@pytest.mark.parametrize("text", _find_examples("query"))
def test_query_examples(text):
    """Every example query must be valid and match at least one row."""
    for statement in parsing.parse_queries(text):
        assert evaluation.evaluate(statement, example_view.VIEW).rows


@pytest.mark.parametrize("text", _find_examples("change"))
def test_change_examples(text):
    change = translation.translate(parsing.parse_commands(text), BASE_SNAPSHOT)
    assert difference.compare(BASE_SNAPSHOT, change)


def test_every_fenced_block_is_an_example():
    """A fenced block that the pattern of ``_find_examples`` misses would silently not be tested."""
    assert len(_find_examples("query")) + len(_find_examples("change")) == PAGE.count("\n```") / 2


def test_tables_are_documented():
    documented = {}
    for names, _, columns in _read_table("| table | rows | columns |"):
        for name in re.findall(r"`(\w+)`", names):
            documented[name] = columns.split(", ")
    actual = {name: list(table.columns()) for name, table in tables.TABLES.items()}
    assert documented == actual


def test_exit_codes_are_documented():
    documented = {row[1]: int(row[0]) for row in _read_table("| code | name | meaning |")}
    actual = {name: value for name, value in vars(exit_codes).items() if name.isupper()}
    assert documented == actual
