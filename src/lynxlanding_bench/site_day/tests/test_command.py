import json

from click import testing

from lynxlanding_bench.site_day import command

FAULTS = """
- {at_s: 1, kind: pause, targets: plain, share: 0.5, for_s: 0.5}
- {at_s: 2, kind: reject, targets: i-016, for_s: 2, value: 1.5}
- {at_s: 3, kind: state_leaving, targets: i-017}
- {at_s: 4, kind: freeze, targets: n1, for_s: 0.5}
"""


def test_bad_file_is_refused_before_anything_starts(tmp_path):
    path = tmp_path / "faults.yaml"
    path.write_text("- {at_s: -1, kind: reset, targets: plain}\n")
    output = tmp_path / "out"
    result = testing.CliRunner().invoke(command.command, [str(path), "--output", str(output)])
    assert result.exit_code == 1
    assert "faults.yaml:1: at_s must be" in result.output
    assert not output.exists()


def test_short_day_is_played_and_reported(tmp_path):
    path = tmp_path / "faults.yaml"
    path.write_text(FAULTS)
    options = "--nodes 2 --engines 16 --plain 3 --rate 10 --duration-s 8 --seed 4 --output"
    result = testing.CliRunner().invoke(
        command.command, [str(path), *options.split(), str(tmp_path / "out")]
    )
    assert result.exit_code == 0, result.output
    report = json.loads((tmp_path / "out" / "site-4.json").read_text())
    assert [item["kind"] for item in report["faults"]] == [
        "pause",
        "state_leaving",
        "reject",
        "freeze",
    ]
    assert not any(report["rules"].values())
    assert report["requests"] > 40
    assert (tmp_path / "out" / "site-4.png").stat().st_size > 0
    assert (tmp_path / "out" / "site-4-logs" / "n0.log").exists()
