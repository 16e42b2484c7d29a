import random

import pytest

from lynxlanding_bench.site_day import fault_file

TARGETS = fault_file.Targets(
    {"i-0": "a", "i-1": "b", "i-2": "a", "i-3": "b"}, ["i-0", "i-1", "i-2"], ["n0", "n1", "n2"]
)


def load(tmp_path, text, seed=1):
    path = tmp_path / "faults.yaml"
    path.write_text(text)
    return fault_file.load(str(path), TARGETS, random.Random(seed))


def test_faults_are_read_and_ordered_by_time(tmp_path):
    faults = load(
        tmp_path,
        """
- at_s: 7
  kind: cut
  targets: [n0, n2]
  for_s: 5
  value: hang
- {at_s: 2, kind: pause, targets: "zone:a", for_s: 1}
- {at_s: 3.5, kind: reject, targets: [plain, i-0], for_s: 4, value: 1.5}
- {at_s: 9, kind: lose_answers, value: 3}
""",
    )
    read = [(item.line, item.at_s, item.kind, item.targets, item.for_s) for item in faults]
    assert read == [
        (7, 2.0, "pause", ("i-0", "i-2"), 1.0),
        (8, 3.5, "reject", ("i-0", "i-3"), 4.0),
        (2, 7.0, "cut", ("n0", "n2"), 5.0),
        (9, 9.0, "lose_answers", (), 0.0),
    ]
    assert [item.value for item in faults] == [None, 1.5, "hang", 3]


def test_the_same_seed_picks_the_same_share(tmp_path):
    text = "- {at_s: 1, kind: crash, targets: engines, share: 0.6, for_s: 2}"
    picked = {load(tmp_path, text, seed)[0].targets for seed in range(30)}
    assert len(picked) == 3
    assert {len(targets) for targets in picked} == {2}
    assert load(tmp_path, text, 5) == load(tmp_path, text, 5)


@pytest.mark.parametrize(
    ("entry", "line", "problem"),
    [
        ("- {at_s: 1, kind: explode, targets: plain}", 1, "unknown kind 'explode'"),
        ("- {at_s: 1, targets: plain}", 1, "unknown kind 'None'"),
        ("- {at_s: 1, kind: reset, targets: i-9}", 1, "unknown target 'i-9'"),
        ("- {at_s: 1, kind: reset, targets: 'zone:c'}", 1, "unknown target 'zone:c'"),
        ("- {at_s: 1, kind: cut, targets: i-0, for_s: 1, value: hang}", 1, "unknown target 'i-0'"),
        ("- at_s: -1\n  kind: reset\n  targets: plain", 1, "at_s must be"),
        ("- kind: reset\n  targets: plain\n  at_s: .nan", 3, "at_s must be"),
        ("- kind: pause\n  targets: plain\n  at_s: 1\n  for_s: -2", 4, "for_s must be"),
        ("- {at_s: 1, kind: pause, targets: plain}", 1, "for_s must be"),
        ("- {at_s: 1, kind: reset, targets: plain, for_s: 1}", 1, "has no duration"),
        ("- {at_s: 1, kind: reset, targets: plain, value: 1}", 1, "has no value"),
        ("- {at_s: 1, kind: cut, targets: n0, for_s: 1, value: half}", 1, "value must be hang or"),
        ("- {at_s: 1, kind: reject, targets: i-0, for_s: 1, value: -1}", 1, "value must be"),
        ("- {at_s: 1, kind: lose_answers, value: true}", 1, "value must be"),
        ("- {at_s: 1, kind: reset}", 1, "targets are missing"),
        ("- {at_s: 1, kind: reset, targets: plain, share: 0}", 1, "share must be"),
        ("- {at_s: 1, kind: reset, targets: plain, when: 3}", 1, "unknown key 'when'"),
        ("- {at_s: 1, at_s: 2, kind: reset, targets: plain}", 1, "at_s is there twice"),
        ("- {at_s: 1, kind: lose_answers, value: 1, targets: plain}", 1, "has no targets"),
        ("- reset", 1, "must be a mapping"),
        ("kind: reset", 1, "must contain a list"),
    ],
)
def test_bad_entry_is_refused_with_its_line(tmp_path, entry, line, problem):
    with pytest.raises(fault_file.FaultFileError) as caught:
        load(tmp_path, entry)
    assert f"faults.yaml:{line}: " in caught.value.problems[0]
    assert problem in caught.value.problems[0]


def test_all_problems_are_reported_together(tmp_path):
    with pytest.raises(fault_file.FaultFileError) as caught:
        load(tmp_path, "- {at_s: -1, kind: reset, targets: i-9}\n- {at_s: 1, kind: explode}")
    assert len(caught.value.problems) == 3


@pytest.mark.parametrize("text", ["[", "- \x00", ""])
def test_file_that_is_no_list_is_refused(tmp_path, text):
    with pytest.raises(fault_file.FaultFileError):
        load(tmp_path, text)


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(fault_file.FaultFileError, match="No such file"):
        fault_file.load(str(tmp_path / "none"), TARGETS, random.Random(1))
