"""Short scenarios; ``lynx-bench scenarios`` runs all of them."""

import pytest

from lynxlanding_bench.scenario import command, parsing, runner

pytestmark = pytest.mark.multiprocess

SHORT = ("change_answer_lost", "node_killed", "operators_race", "service_breaks")


@pytest.mark.parametrize("name", SHORT)
def test_scenario(tmp_path, name):
    """Guards the properties of docs/design.md, section 1.1, under one fault each."""
    outcome = runner.run(command.load(name), tmp_path)
    assert outcome.failures == []
    assert outcome.violations == []
    assert outcome.counts["calls"] > 0


def test_runner_reports_what_fails(tmp_path):
    """Guards against scenarios that pass whatever happens."""
    scenario = parsing.parse(
        """
        scenario "the only engine is killed" seed 5 with nodes 1, engines 1
        start
        load talk streams at 20 per second for 1 s tokens 40
        wait 500 ms
        kill engine 0
        wait for load talk
        expect whole >= 100 percent
        """
    )
    outcome = runner.run(scenario, tmp_path)
    assert not outcome.passed
    assert "expected whole >= 100 percent" in outcome.failures[0]
    assert outcome.violations == []
