import pytest

from lynxlanding.errors import operators as operator_errors
from lynxlanding_bench.scenario import command, parsing, steps

TEXT = """
scenario "one node is killed" seed 7
with nodes 3, token_interval 20 ms
start
load talk streams at 10 per second for 2 s tokens 30 on node 0, 1  # in the background
load book bookings at 2.5 per second for 2 s retry 1
pause node 1 for 500 ms
kill engine 2
store slow 300 ms
together {
  operator amina applies "scale group g to 3" on node 0 and expects accepted
  operator baris applies "scale group g to 4" on node 1
}
wait for load talk
expect whole of talk >= 95 percent
expect revision 2 on all nodes within 3 s
check
"""


def test_every_part_is_typed():
    scenario = parsing.parse(TEXT)
    assert (scenario.title, scenario.seed) == ("one node is killed", 7)
    assert scenario.options["nodes"] == 3
    assert scenario.options["token_interval"] == 0.02
    assert scenario.steps[1] == steps.Load("talk", "streams", 10.0, 2.0, 30, 0, (0, 1))
    assert scenario.steps[2] == steps.Load("book", "bookings", 2.5, 2.0, 20, 1)
    assert scenario.steps[3].duration_s == 0.5
    assert [step.expects for step in scenario.steps[6].steps] == ["accepted", None]
    assert scenario.steps[8] == steps.Expect("whole", "talk", ">=", 95.0, True)


@pytest.mark.parametrize(
    ("old", "new", "line", "column"),
    [
        ("with nodes", "with noodles", 3, 6),
        ("kill engine 2", "kill engine", 8, 6),
        ("kill engine 2", "kill store 2", 8, 6),
        ("2 s tokens", "2 tokens", 5, 42),
        ("check", "chekc", 17, 1),
        ("book bookings", "book unkeyed", 6, 11),
        ("on node 0, 1", "on node 0, 3", 5, 65),
        ("on node 1\n", "on node 7\n", 12, 55),
    ],
)
def test_mistakes_have_positions(old, new, line, column):
    with pytest.raises(operator_errors.StatementError) as caught:
        parsing.parse(TEXT.replace(old, new, 1))
    assert (caught.value.line, caught.value.column) == (line, column)


@pytest.mark.parametrize("name", command.names())
def test_scenario_files_are_valid(name):
    assert command.load(name).steps
