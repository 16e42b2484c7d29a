import json

import click.testing
import pytest

from lynxlanding_bench import main, result_file


@pytest.fixture
def saved(tmp_path):
    """Return the path of a small result file."""
    rows = [{"size": 9, "cost_ms": 2.0}, {"size": 60, "cost_ms": 4.0}]
    return result_file.save("example", 1, {}, rows, tmp_path)


def test_result_names_seed_version_and_settings(saved):
    """Guards against figures that cannot be produced again."""
    document = json.loads(saved.read_text())
    assert (document["experiment"], document["seed"], document["settings"]) == ("example", 1, {})
    assert document["version"]


def test_compare_shows_ratios(saved, tmp_path):
    """Guards against a comparison that shows the later figures themselves."""
    document = json.loads(saved.read_text())
    document["rows"][1]["cost_ms"] = 6.0
    later = tmp_path / "later.json"
    later.write_text(json.dumps(document))
    outcome = click.testing.CliRunner().invoke(main.main, ["compare", str(saved), str(later)])
    assert outcome.exit_code == 0
    assert "1.5" in outcome.output


def test_plot_writes_a_picture_or_names_the_column(saved, tmp_path):
    """Guards against an empty picture for a mistyped column."""
    runner = click.testing.CliRunner()
    picture = str(tmp_path / "example.png")
    arguments = ["plot", str(saved), "--label", "size", "--output", picture, "--column"]
    assert runner.invoke(main.main, [*arguments, "cost_ms"]).exit_code == 0
    assert (tmp_path / "example.png").stat().st_size > 1000
    refused = runner.invoke(main.main, [*arguments, "cots_ms"])
    assert refused.exit_code == 1
    assert "cots_ms" in refused.output
