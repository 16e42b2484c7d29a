import collections
import random

from lynxlanding.handover import helper_choice


def make_helpers(*loads):
    return [
        helper_choice.Helper(f"n{number}", f"127.0.0.1:{number + 1}", load, 0.1)
        for number, load in enumerate(loads)
    ]


def test_requests_of_many_nodes_are_spread_over_the_helpers():
    """Guards against helpers that are pushed over because all nodes choose the same one."""
    counts = collections.Counter()
    for seed in range(300):
        helper = helper_choice.choose(make_helpers(5, 6, 7), (), {}, random.Random(seed))
        counts[helper.node_id] += 1
    assert counts["n0"] > counts["n1"] > counts["n2"] == 0
    assert counts["n1"] > 60


def test_own_requests_count_before_the_helper_reports_them():
    helper = helper_choice.choose(make_helpers(5, 6), (), {"n0": 3}, random.Random(1))
    assert helper.node_id == "n1"


def test_tried_helpers_are_left_out():
    assert helper_choice.choose(make_helpers(1, 9), {"n0"}, {}, random.Random(1)).node_id == "n1"
    assert helper_choice.choose(make_helpers(1), {"n0"}, {}, random.Random(1)) is None
