"""Pattern: engines are added without any model while others are lost; one weight store."""

import pytest

from lynxlanding.replicas import load_tracker
from lynxlanding.replicas.tests import plan_world

LOADS_AT_ONCE = 7
LOAD_S = 16.0
STEP_S = 0.5


class WeightStore:
    """Serves so many loads at full speed; with more, each takes proportionally longer."""

    def __init__(self):
        self.left = {}

    def begin(self, endpoint_id):
        self.left.setdefault(endpoint_id, LOAD_S)

    def advance(self):
        """Return the engines whose loads have ended."""
        speed = min(1.0, LOADS_AT_ONCE / max(1, len(self.left)))
        ended = []
        for endpoint_id in list(self.left):
            self.left[endpoint_id] -= STEP_S * speed
            if self.left[endpoint_id] <= 0:
                del self.left[endpoint_id]
                ended.append(endpoint_id)
        return ended


def play(blanks, versatile, may_begin):
    """Return when the last engine without a model has one, in seconds."""
    store = WeightStore()
    waiting = [(f"e{i}", True) for i in range(versatile)]
    without = {f"e{i}" for i in range(versatile, versatile + blanks)}
    now = 0.0
    while without:
        if now == STEP_S:
            # The new engines come when others are loading their second model already. A planner
            # orders the first models before the second ones.
            waiting = [(endpoint_id, False) for endpoint_id in sorted(without)] + waiting
        for item in list(waiting):
            if may_begin(len(store.left), item[1]):
                store.begin(item[0])
                waiting.remove(item)
        without.difference_update(store.advance())
        now += STEP_S
    return now


def bounded(under_way, is_background):
    return load_tracker.may_begin(LOADS_AT_ONCE, under_way, is_background=is_background)


def test_added_engines_get_a_model_while_callers_wait():
    """Twelve engines take at least two rounds of loads; all at once they take four."""
    assert play(12, 20, lambda under_way, is_background: True) > 4 * LOAD_S
    assert play(12, 20, bounded) <= 3.5 * LOAD_S
    assert play(3, 20, bounded) <= LOAD_S + STEP_S


def test_one_load_at_a_time_is_always_possible():
    assert load_tracker.may_begin(0.5, 0, is_background=True)
    assert not load_tracker.may_begin(0.5, 1, is_background=False)


@pytest.fixture
def board():
    made = load_tracker.LoadTracker()
    made.begin(plan_world.record("e0"), "large", LOAD_S, 0.0)
    return made


def test_a_load_ends_when_the_host_holds_the_model(board):
    board.settle({"e0": plan_world.record("e0")}, 10.0)
    assert board.under_way == {"e0": "large"}
    board.settle({"e0": plan_world.record("e0", staged=("large",))}, 16.0)
    assert board.under_way == {}


@pytest.mark.parametrize(
    ("records", "now"),
    [
        ({}, 1.0),
        ({"e0": plan_world.record("e0", born_ms=2)}, 1.0),
        ({"e0": plan_world.record("e0")}, LOAD_S * load_tracker.LONGEST_FACTOR),
    ],
    ids=["engine gone", "engine restarted", "never begun"],
)
def test_a_load_that_cannot_end_is_forgotten(board, records, now):
    board.settle(records, now)
    assert board.under_way == {}


def test_an_order_that_was_not_begun_is_no_load(board):
    board.cancel("e0")
    board.cancel("e1")
    assert board.under_way == {}
