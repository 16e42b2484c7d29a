import pytest

from lynxlanding.configuration import snapshot, specs
from lynxlanding.errors import operators as operator_errors
from lynxlanding.operators.language import difference, parsing, translation

BASE = snapshot.Snapshot(
    3,
    "",
    {
        "models": {"m": specs.ModelSpec(version="v1"), "other": specs.ModelSpec(version="o1")},
        "versions": {
            "v1": specs.VersionSpec(model="m", weights="m/1"),
            "v2": specs.VersionSpec(model="m", weights="m/2"),
            "o1": specs.VersionSpec(model="other", weights="o/1"),
        },
        "groups": {"g": specs.GroupSpec(model="m", replicas=3)},
        "drains": {"manual": specs.DrainSpec(address="10.0.0.9:80")},
        "winddowns": {"w": specs.WinddownSpec(model="m", date="2027-06-30T00:00:00Z")},
    },
)


def _translate(text):
    return translation.translate(parsing.parse_commands(text), BASE)


def test_every_kind_can_be_created():
    """Guards against a configuration kind that no command can create."""
    digest = "a" * 64
    change = _translate(
        f"""
        create workspace w with token_sha256 = [{digest}], owed_requests_per_s = 2.5,
            until = 2027-06-30;
        create model new with version = n1, vms_per_replica = 4;
        create version n1 with model = new, weights = "new/1";
        create adapter ad with model = new, weights = "new/ad";
        create group gn with model = new, replicas = 2, places = [east], adapters = [ad];
        create service s with kind = plain, endpoints = [10.0.0.1:80],
            idempotent_paths = [{{method = POST, prefix = "/quotes"}}];
        create drain d with address = 10.0.0.1:80;
        create winddown wn with model = new, date = 2027-06-30,
            steps = [{{at = 2027-06-01, replicas = 1}}];
        """
    )
    assert {kind for kind, _ in change.puts} == set(translation.kinds.SPEC_BY_KIND)
    assert change.puts["services", "s"].idempotent_paths[0].prefix == "/quotes"


def test_statement_sees_effects_of_earlier_ones():
    """Guards against a lost update when two statements change the same object."""
    change = _translate(
        "set group g places = [east]; scale group g to 5; create group h with model = m,"
        " replicas = 1; delete group h"
    )
    assert change.puts == {
        ("groups", "g"): specs.GroupSpec(model="m", replicas=5, places=("east",))
    }
    assert change.deletes == set()


def test_version_drain_and_winddown_commands():
    change = _translate(
        'change model m to version v2; drain endpoint 10.0.0.4:8000 because "rack work";'
        "undrain endpoint 10.0.0.9:80;"
        "wind down model m on 2027-07-30 at 2027-07-01 keep 2, at 2027-07-10 keep 1"
    )
    assert change.puts["models", "m"].version == "v2"
    assert change.puts["drains", "10.0.0.4-8000"].reason == "rack work"
    assert [step.replicas for step in change.puts["winddowns", "m"].steps] == [2, 1]
    # A model has at most one wind-down: scheduling another one replaces it.
    assert change.deletes == {("drains", "manual"), ("winddowns", "w")}
    assert _translate("cancel wind down of model m").deletes == {("winddowns", "w")}


@pytest.mark.parametrize(
    ("text", "column", "message_part"),
    [
        ("create group g with model = m, replicas = 1", 14, "change it with 'set'"),
        ("set group gg replicas = 1", 11, "did you mean 'g'"),
        ("set group g replica = 1", 13, "did you mean 'replicas'"),
        ("set group g replicas = many", 24, "replicas:"),
        ("set group g replicas = 1, replicas = 2", 27, "given twice"),
        ("create group h with model = m", 14, "'replicas' of groups is missing"),
        ("create grup h with model = m", 8, "did you mean 'group'"),
        ("create group H with model = m", 14, "is not a name"),
        ("change model m to version o1", 27, "belongs to model other"),
        ("change model m to version v3", 27, "unknown version"),
        ("drain endpoint 10.0.0.9:80", 16, "being drained already"),
        ("undrain endpoint 10.0.0.8:80", 18, "expected 10.0.0.9:80"),
        ("wind down model m on 2027-06-30 at 2027-07-01 keep 1", 36, "after the date"),
        ("wind down model m on 2027-06-30 at 2027-06-02 keep 2, at 2027-06-01 keep 1", 58, "order"),
        ("cancel wind down of model other", 27, "no wind-down"),
    ],
)
def test_invalid_commands_are_rejected(text, column, message_part):
    with pytest.raises(operator_errors.StatementError) as caught:
        _translate(text)
    assert caught.value.column == column
    assert message_part in str(caught.value)


def test_drain_names_are_valid_and_unique():
    """Guards against two addresses that map to the same drain object."""
    names = [
        translation.drain_name(address)
        for address in (
            "10.0.0.1:80",
            "[::1]:80",
            "[1::]:80",
            "HOST:80",
            "host:80",
            "h" * 90 + ":8",
        )
    ]
    assert len(set(names)) == len(names)
    for name in names:
        assert translation._OBJECT_NAME.fullmatch(name)


def test_difference_lists_only_changed_fields():
    differences = difference.compare(BASE, _translate("scale group g to 5; delete drain manual"))
    assert [(entry.action, entry.object, entry.field) for entry in differences] == [
        ("change", "groups/g", "replicas"),
        ("delete", "drains/manual", ""),
    ]
    assert (differences[0].before, differences[0].after) == (3, 5)


def test_change_includes_unchanged_object():
    """Guards against dropping a command as a no-op because the node's revision is outdated."""
    assert _translate("scale group g to 3").puts == {
        ("groups", "g"): specs.GroupSpec(model="m", replicas=3)
    }
