"""Compares docs/OPERATIONS.md with the code."""

import pathlib
import re

from lynxlanding.observability.burn import objectives
from lynxlanding.operators.language import evaluation, parsing

ROOT = pathlib.Path(__file__).parents[4]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")


def test_metrics_exist():
    """Guards against alerts on metrics that no node exports."""
    known = set()
    for path in (ROOT / "src" / "lynxlanding").rglob("*.py"):
        if "tests" in path.parts:
            continue
        for name in re.findall(r'"(lynxlanding[._][a-z_.]+)"', path.read_text("utf-8")):
            known.add(name.replace(".", "_"))
    named = set(re.findall(r"\blynxlanding_[a-z_]+", PAGE))
    assert len(named) > 8
    for name in named:
        base = re.sub(r"_(total|seconds)$", "", name)
        assert base in known or name in known, name


def test_objectives_are_documented():
    names = {value for name, value in vars(objectives).items() if name.isupper() and name[0] != "_"}
    assert names == set(re.findall(r"^\| `(\w+)` \|", PAGE, flags=re.MULTILINE))


def test_queries_are_valid():
    """Guards against a page that sends operators to columns that do not exist."""
    queries = re.findall(r'lynxctl query "([^"]+)"', PAGE)
    queries += re.findall(r"`((?:show|count) [^`]+)`", PAGE)
    assert len(queries) > 10
    for text in queries:
        for statement in parsing.parse_queries(text):
            evaluation.check(statement)
