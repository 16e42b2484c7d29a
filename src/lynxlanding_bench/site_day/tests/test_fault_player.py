import random

import pytest

from lynxlanding_bench.site_day import command, fault, fault_file, fault_player

HOSTS = {"n0": "127.0.1.1", "n1": "127.0.1.2"}


def make_fault(kind, value=None):
    spec = fault.KINDS[kind]
    targets = {fault.ENDPOINTS: ("i-0", "i-1"), fault.NODES: ("n0",), fault.SITE: ()}[spec.scope]
    return fault.Fault(1, 0.0, kind, targets, 2.0 if spec.needs_duration else 0.0, value)


@pytest.mark.parametrize(
    ("kind", "value", "begin", "end"),
    [
        ("cold", None, {"cold": {"i-0": 2.0, "i-1": 2.0}}, None),
        ("pause", None, {"paused": {"i-0": 2.0, "i-1": 2.0}}, None),
        (
            "reject",
            1.5,
            {"rejecting": {"i-0": "1.5", "i-1": "1.5"}},
            {"rejecting": {"i-0": None, "i-1": None}},
        ),
        (
            "state_limit",
            1.4,
            {"limits": {"i-0": 1.4, "i-1": 1.4}},
            {"limits": {"i-0": None, "i-1": None}},
        ),
        ("cut", "hang", {"cut": {"127.0.1.1": "hang"}}, {"uncut": ["127.0.1.1"]}),
        ("store", "busy", {"store": "busy"}, {"store": ""}),
        ("roll_back_store", None, {"save_store": True}, {"roll_back_store": True}),
        ("crash_part", "bad0", {"crash_parts": {"bad0": 3.0}}, {"crash_parts": {}}),
        (
            "evacuate",
            None,
            {"evacuate": ["i-0", "i-1"]},
            {"end_evacuation": ["i-0", "i-1"]},
        ),
        ("cut_store", None, {"refuse_store": ["127.0.1.1"]}, {"serve_store": ["127.0.1.1"]}),
        ("freeze", None, None, None),
    ],
)
def test_faults_become_orders(kind, value, begin, end):
    item = make_fault(kind, value)
    assert fault_player.make_order(item, HOSTS, is_begin=True) == begin
    assert fault_player.make_order(item, HOSTS, is_begin=False) == end


def test_each_kind_without_a_process_has_an_order():
    """Guards against a kind that is accepted and does nothing."""
    for kind, spec in fault.KINDS.items():
        is_process_fault = spec.scope == fault.NODES and kind not in ("cut", "cut_store")
        order = fault_player.make_order(make_fault(kind, 1), HOSTS, is_begin=True)
        assert (order is None) == is_process_fault, kind


def test_sample_day_is_valid():
    targets = command.make_targets(40, 20, [f"n{number}" for number in range(9)])
    assert len(fault_file.load(str(command.SAMPLE), targets, random.Random(1))) > 5
    cold = command.SAMPLE.with_name("cold.yaml")
    assert len(fault_file.load(str(cold), targets, random.Random(1))) > 5


def test_day_of_evacuations_is_valid():
    targets = command.make_targets(20, 6, [f"n{number}" for number in range(5)])
    path = command.SAMPLE.parent / "evacuations.yaml"
    kinds = [item.kind for item in fault_file.load(str(path), targets, random.Random(1))]
    assert kinds.count("evacuate") == 3
