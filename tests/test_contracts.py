"""Checks that the table of contracts names modules, faults and tests that exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PACKAGE = ROOT / "src" / "lynxlanding"
SITE = ROOT / "src" / "lynxlanding_standins" / "site" / "application.py"
TABLE = ROOT / "docs" / "contracts.md"
COLUMNS = 6
ROWS_AT_LEAST = 60
FAULTS_WITHOUT_ORDER = {"—", "test", "SIGTERM", "SIGHUP", "SIGKILL", "SIGSTOP"}
TEST_NAME = re.compile(r"`([\w/]+\.py)::(\w+)`")


def read_rows():
    rows = []
    for line in TABLE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| ") and cells[0].isdigit():
            rows.append(cells)
    return rows


ROWS = read_rows()


def find_missing(row, site_source):
    """Return what a row names that does not exist."""
    missing = []
    if len(row) != COLUMNS:
        return ["a column"]
    _, _, _, module, fault, test = row
    if not (PACKAGE / (module.strip("`").replace(".", "/") + ".py")).is_file():
        missing.append(module)
    if fault not in FAULTS_WITHOUT_ORDER:
        order = re.escape(fault.strip("`"))
        if not re.search(rf'order(\.get\(|\[)"{order}"|"{order}" in order', site_source):
            missing.append(fault)
    tests = TEST_NAME.findall(test)
    if not tests and "open: " not in test:
        missing.append("a test, or why there is none")
    for path, name in tests:
        paths = (ROOT / path, PACKAGE / path)
        sources = [item.read_text() for item in paths if item.is_file()]
        if not any(re.search(rf"^def {name}\(", source, re.MULTILINE) for source in sources):
            missing.append(f"{path}::{name}")
    return missing


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_row_names_what_exists(row):
    assert find_missing(row, SITE.read_text()) == []


def test_ids_are_complete():
    assert [int(row[0]) for row in ROWS] == list(range(1, len(ROWS) + 1))
    assert len(ROWS) >= ROWS_AT_LEAST


@pytest.mark.parametrize(
    ("column", "value"),
    [
        (3, "`node.no_module`"),
        (4, "`no_fault`"),
        (5, "`tests/test_site.py::test_no_such_test`"),
        (5, "later"),
    ],
)
def test_check_finds_what_does_not_exist(column, value):
    """Guards against a check that passes whatever the table says."""
    row = list(ROWS[34])
    assert find_missing(row, SITE.read_text()) == []
    row[column] = value
    assert len(find_missing(row, SITE.read_text())) == 1
