"""Tests of load limits: engines without a model are added while others load from the same store."""

import pytest

from lynxlanding.replicas import weight_load_tracker
from lynxlanding.replicas.tests import simulated_domain

LOADS_AT_ONCE = 7
LOAD_S = 16.0
STEP_S = 0.5


class WeightStore:
    """Serves ``LOADS_AT_ONCE`` loads at full speed; beyond that all slow down in proportion."""

    def __init__(self):
        self.left = {}

    def start(self, endpoint_id):
        self.left.setdefault(endpoint_id, LOAD_S)

    def advance(self):
        """Advance by one step and return the engines whose loads have finished."""
        speed = min(1.0, LOADS_AT_ONCE / max(1, len(self.left)))
        ended = []
        for endpoint_id in list(self.left):
            self.left[endpoint_id] -= STEP_S * speed
            if self.left[endpoint_id] <= 0:
                del self.left[endpoint_id]
                ended.append(endpoint_id)
        return ended


def time_until_all_loaded(blank_engines, engines_with_model, can_start_load):
    """Return the time in seconds until every blank engine has loaded a model."""
    store = WeightStore()
    waiting = [(f"e{i}", True) for i in range(engines_with_model)]
    without_model = {f"e{i}" for i in range(engines_with_model, engines_with_model + blank_engines)}
    now = 0.0
    while without_model:
        if now == STEP_S:
            # The blank engines are added while others are already loading an additional model. A
            # planner orders first models before additional ones.
            waiting = [(endpoint_id, False) for endpoint_id in sorted(without_model)] + waiting
        for item in list(waiting):
            if can_start_load(len(store.left), item[1]):
                store.start(item[0])
                waiting.remove(item)
        without_model.difference_update(store.advance())
        now += STEP_S
    return now


def limited(loads_in_progress, is_background):
    return weight_load_tracker.can_start_load(
        LOADS_AT_ONCE, loads_in_progress, is_background=is_background
    )


def test_added_engines_load_a_model_soon_despite_background_loads():
    """Guards against unlimited loads that all slow down.

    Twelve engines need at least two rounds of loads; without a limit they take as long as four.
    """
    assert time_until_all_loaded(12, 20, lambda loads_in_progress, is_background: True) > 4 * LOAD_S
    assert time_until_all_loaded(12, 20, limited) <= 3.5 * LOAD_S
    assert time_until_all_loaded(3, 20, limited) <= LOAD_S + STEP_S


def test_one_load_is_always_allowed():
    assert weight_load_tracker.can_start_load(0.5, 0, is_background=True)
    assert not weight_load_tracker.can_start_load(0.5, 1, is_background=False)


@pytest.fixture
def tracker():
    tracker = weight_load_tracker.WeightLoadTracker()
    tracker.start(simulated_domain.engine_record("e0"), "large", LOAD_S, 0.0)
    return tracker


def test_a_load_is_finished_when_the_host_holds_the_model(tracker):
    tracker.remove_finished({"e0": simulated_domain.engine_record("e0")}, 10.0)
    assert tracker.loads_in_progress == {"e0": "large"}
    tracker.remove_finished({"e0": simulated_domain.engine_record("e0", staged=("large",))}, 16.0)
    assert tracker.loads_in_progress == {}


@pytest.mark.parametrize(
    ("records", "now"),
    [
        ({}, 1.0),
        ({"e0": simulated_domain.engine_record("e0", started_ms=2)}, 1.0),
        (
            {"e0": simulated_domain.engine_record("e0")},
            LOAD_S * weight_load_tracker.LOAD_TIMEOUT_FACTOR,
        ),
    ],
    ids=["engine gone", "engine restarted", "never started"],
)
def test_a_load_that_cannot_finish_is_removed(tracker, records, now):
    tracker.remove_finished(records, now)
    assert tracker.loads_in_progress == {}


def test_a_cancelled_load_is_not_in_progress(tracker):
    tracker.cancel("e0")
    tracker.cancel("e1")
    assert tracker.loads_in_progress == {}
