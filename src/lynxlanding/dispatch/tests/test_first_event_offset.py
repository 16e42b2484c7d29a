import random

import pytest

from lynxlanding.dispatch import first_event_offset


@pytest.mark.parametrize("true_s", [0.0, 0.03, 0.095, 0.11])
def test_first_observations_correct_the_estimate(true_s):
    """Guards against nodes that prefer the heads they use to idle ones for half a minute."""
    offset = first_event_offset.FirstEventOffset()
    for _ in range(25):
        offset.record("s", "m", true_s)
    assert offset.get("s", "m") == pytest.approx(true_s, abs=0.01)


def test_late_outliers_barely_change_the_estimate():
    offset = first_event_offset.FirstEventOffset()
    random_state = random.Random(1)
    for _ in range(200):
        offset.record("s", "m", random_state.uniform(0.08, 0.1))
    before_s = offset.get("s", "m")
    for _ in range(3):
        offset.record("s", "m", 5.0)
    assert offset.get("s", "m") - before_s == pytest.approx(3 * first_event_offset.UPDATE_STEP_S)


def test_models_have_offsets_of_their_own():
    offset = first_event_offset.FirstEventOffset()
    offset.record("s", "m", 5.0)
    assert offset.get("s", "n") == first_event_offset.INITIAL_OFFSET_S
