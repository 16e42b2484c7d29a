"""Checks that docs/OPERATIONS.md matches the code."""

import pathlib
import re

from lynxlanding.observability.burn import objectives
from lynxlanding.operators.language import evaluation, parsing

ROOT = pathlib.Path(__file__).parents[4]
OPERATIONS_PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")


def test_metrics_exist():
    """Guards against documented alerts on metrics that no node exports."""
    defined = set()
    for path in (ROOT / "src" / "lynxlanding").rglob("*.py"):
        if "tests" in path.parts:
            continue
        for name in re.findall(r'"(lynxlanding[._][a-z_.]+)"', path.read_text("utf-8")):
            defined.add(name.replace(".", "_"))
    documented = set(re.findall(r"\blynxlanding_[a-z_]+", OPERATIONS_PAGE))
    assert len(documented) > 8
    for name in documented:
        base = re.sub(r"_(total|seconds)$", "", name)
        assert base in defined or name in defined, name


def test_objectives_are_documented():
    objective_names = {
        value for name, value in vars(objectives).items() if name.isupper() and name[0] != "_"
    }
    assert objective_names == set(
        re.findall(r"^\| `(\w+)` \|", OPERATIONS_PAGE, flags=re.MULTILINE)
    )


def test_queries_are_valid():
    """Guards against documented queries with a syntax error or an unknown column."""
    queries = re.findall(r'lynxctl query "([^"]+)"', OPERATIONS_PAGE)
    queries += re.findall(r"`((?:show|count) [^`]+)`", OPERATIONS_PAGE)
    assert len(queries) > 10
    for text in queries:
        for statement in parsing.parse_queries(text):
            evaluation.check_query(statement)
