"""The run passes over exactly the tests that ``KNOWN-RED.txt`` lists."""

import pathlib

pytest_plugins = ["pytester"]

CONFTEST = pathlib.Path(__file__).parents[1] / "conftest.py"
TESTS = "def test_listed(): assert {}\ndef test_other(): assert {}\n"


def run(pytester, listed_holds, other_holds):
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makefile(".txt", **{"KNOWN-RED": "test: test_it.py::test_listed\nissue: 1\n"})
    pytester.makepyfile(test_it=TESTS.format(listed_holds, other_holds))
    return pytester.runpytest("-p", "no:cacheprovider")


def test_a_listed_failure_is_passed_over_and_printed(pytester):
    result = run(pytester, listed_holds=False, other_holds=True)
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["KNOWN-RED.txt: test_it.py::test_listed"])


def test_a_failure_that_is_not_listed_fails_the_run(pytester):
    result = run(pytester, listed_holds=False, other_holds=False)
    result.assert_outcomes(failed=1, xfailed=1)
    assert result.ret == 1


def test_a_listed_test_that_passes_fails_the_run(pytester):
    """Guards against an entry that stays in the list after the fault was mended."""
    result = run(pytester, listed_holds=True, other_holds=True)
    result.assert_outcomes(passed=1, failed=1)
