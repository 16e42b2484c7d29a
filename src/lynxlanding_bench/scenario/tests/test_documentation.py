"""Compares docs/scenarios.md with the code."""

import pathlib
import re

from lynxlanding_bench.history import history, violation
from lynxlanding_bench.scenario import counting, parsing

PAGE = pathlib.Path(__file__).parents[4].joinpath("docs", "scenarios.md").read_text("utf-8")


def test_example_is_valid():
    (text,) = re.findall(r"^```scenario\n(.*?)^```$", PAGE, flags=re.MULTILINE | re.DOTALL)
    assert len(parsing.parse(text).steps) == 13


def test_violations_and_metrics_are_documented():
    kinds = {value for name, value in vars(violation).items() if name.isupper()}
    documented = set(re.findall(r"^\| (`[a-z_`, ]+`) \|", PAGE, flags=re.MULTILINE))
    names = {name for cell in documented for name in re.findall(r"`([a-z_]+)`", cell)}
    assert kinds <= names
    for metric in counting.count(history.History([])):
        assert f"`{metric}`" in PAGE
