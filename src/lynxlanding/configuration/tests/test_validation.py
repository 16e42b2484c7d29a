import pytest

from lynxlanding.configuration import capacity, change, plan, snapshot, validation
from lynxlanding.store import vm

NOW = 1_900_000_000.0
PAST, SOON, LATER = "2020-01-01T00:00:00Z", "2031-01-01T00:00:00Z", "2032-01-01T00:00:00Z"
BASE_PUTS = {
    ("models", "desk"): {"version": "v1", "vms_per_replica": 4, "replica_tokens_per_s": 100},
    ("versions", "v1"): {"model": "desk", "weights": "desk/v1"},
    ("adapters", "swahili"): {"model": "desk", "weights": "desk/swahili"},
    ("groups", "main"): {"model": "desk", "replicas": 2, "adapters": ["swahili"]},
    ("workspaces", "north"): {
        "token_sha256": ["1" * 64],
        "owed_tokens_per_s": 150,
        "until": SOON,
    },
}


def _vms(number):
    return [vm.Vm(f"v{i}", f"10.0.0.{i}:80", "a", "a-1", 8, vm.LIVE) for i in range(number)]


def _problems(puts, vms=8):
    submitted = change.Change("c", "asha", BASE_PUTS | puts)
    planned = plan.make(submitted, snapshot.empty(), NOW, capacity.from_vms(_vms(vms)))
    return {problem.path for problem in planned.problems}


def test_valid_configuration_has_no_problems():
    """Guards against rules that reject a valid configuration."""
    assert _problems({}) == set()


@pytest.mark.parametrize(
    ("puts", "path"),
    [
        ({("models", "desk"): {"version": "v9"}}, "models/desk.version"),
        ({("versions", "v1"): {"model": "none", "weights": "x"}}, "versions/v1.model"),
        ({("adapters", "swahili"): {"model": "none", "weights": "x"}}, "adapters/swahili.model"),
        (
            {("models", "b"): {"version": "v1", "replica_tokens_per_s": 1}},
            "models/b.version",
        ),
        ({("models", "desk"): {"version": "v1", "vms_per_replica": 9}}, "groups/main.model"),
        (
            {("groups", "main"): {"model": "desk", "replicas": 1, "places": ["b"]}},
            "groups/main.model",
        ),
        (
            {("groups", "main"): {"model": "desk", "replicas": 1}},
            "workspaces/north.owed_tokens_per_s",
        ),
        ({("workspaces", "n"): {"token_sha256": ["1" * 64]}}, "workspaces/north.token_sha256"),
        (
            {("workspaces", "n"): {"token_sha256": ["2" * 64], "until": PAST}},
            "workspaces/n.until",
        ),
        ({("winddowns", "w"): {"model": "desk", "date": PAST}}, "winddowns/w.date"),
        ({("winddowns", "w"): {"model": "desk", "date": SOON[:-1]}}, "winddowns/w.date"),
        (
            {
                ("winddowns", "w"): {
                    "model": "desk",
                    "date": SOON,
                    "steps": [{"at": LATER, "replicas": 2}],
                }
            },
            "winddowns/w.steps.0.at",
        ),
        ({("services", "s"): {"kind": "model"}}, "services/s.model"),
        ({("services", "s"): {"kind": "plain", "colour": 1}}, "services/s.colour"),
        ({("houses", "s"): {}}, "houses/s"),
        ({("workspaces", "A b"): {}}, "workspaces/A b"),
    ],
)
def test_problem_names_invalid_object(puts, path):
    """Guards against an invalid configuration that takes effect."""
    assert path in _problems(puts)


def test_winddown_below_owed_capacity_is_rejected():
    """Guards against a schedule that removes owed capacity before the workspace's date."""
    winddown = {
        "model": "desk",
        "date": SOON,
        "steps": [{"at": "2030-12-01T00:00:00Z", "replicas": 1}],
    }
    assert _problems({("winddowns", "w"): winddown}) == {"workspaces/north.owed_tokens_per_s"}
    winddown["steps"] = [{"at": "2030-12-01T00:00:00Z", "replicas": 2}]
    assert _problems({("winddowns", "w"): winddown}) == set()


def test_references_form_no_unexpected_cycle():
    """Guards against a new kind with cyclic references that no rule keeps consistent."""
    edges = {}
    for kind, _, target in validation.REFERENCES:
        if (kind, target) != ("models", "versions"):
            edges.setdefault(kind, set()).add(target)
    reached = dict(edges)
    for _ in edges:
        for kind, targets in reached.items():
            further = set().union(*(edges.get(target, set()) for target in targets))
            reached[kind] = targets | further
    assert all(kind not in targets for kind, targets in reached.items())
