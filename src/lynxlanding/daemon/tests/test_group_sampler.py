import pytest

from lynxlanding.daemon import group_sampler


class _RecordingBurnActor:
    def __init__(self):
        self.calls = []

    def record_groups(self, observations, elapsed_s, now):
        self.calls.append((observations, elapsed_s, now))


def _status(serves, state="ready", reason="", stranded=0, is_counted_here=True):
    return {
        "group": "g1",
        "address": "10.0.0.1:80",
        "place": "east",
        "running": 1,
        "queued": 0,
        "accelerators": 32,
        "fabric_domain": "f1",
        "model": "m",
        "version": "v1",
        "epoch": 2,
        "state": state,
        "serves": serves,
        "reason": reason,
        "vms": ["a", "b"],
        "missing": [] if serves else ["b"],
        "stranded_accelerators": stranded,
        "is_counted_here": is_counted_here,
    }


def test_elapsed_time_is_attributed_to_the_current_state():
    """Guards against counting downtime for a serving group, or none for a group that is down."""
    burn_actor = _RecordingBurnActor()
    states = [_status(True), _status(True), _status(False, reason="vm_missing", stranded=16)]
    sampler = group_sampler.GroupSampler(lambda: [states.pop(0)], burn_actor)
    for now in (10.0, 12.0, 14.0):
        sampler.sample(now, 1000.0 + now)
    serving_call, down_call = burn_actor.calls
    assert (serving_call[0][0].is_serving, serving_call[1]) == (True, 2.0)
    down = down_call[0][0]
    assert (down.is_serving, down.stranded_accelerators, down_call[1]) == (False, 16, 2.0)


def test_elapsed_time_is_limited_after_a_pause():
    """Guards against counting the whole pause of a process as downtime."""
    burn_actor = _RecordingBurnActor()
    sampler = group_sampler.GroupSampler(lambda: [_status(False, reason="vm_missing")], burn_actor)
    sampler.sample(10.0, 1010.0)
    sampler.sample(4000.0, 5000.0)
    assert burn_actor.calls[0][1] == group_sampler.MAX_ELAPSED_S


@pytest.mark.parametrize(
    ("status", "state", "stranded"),
    [
        (_status(True), "serving", 0),
        (_status(False, reason="vm_missing", stranded=16), "incomplete", 16),
        (_status(False, state="incomplete", reason="incomplete", stranded=16), "incomplete", 16),
        (_status(False, reason="epoch_mismatch", stranded=32), "incomplete", 32),
        (_status(False, state="forming", reason="forming", stranded=32), "loading", 0),
        (_status(False, state="draining", reason="draining", stranded=32), "leaving", 0),
        (_status(False, reason="vm_leaving", stranded=32), "leaving", 0),
    ],
)
def test_group_states_and_stranded_accelerators(status, state, stranded):
    """Guards against showing or counting a planned stop as stranded accelerators."""
    burn_actor = _RecordingBurnActor()
    sampler = group_sampler.GroupSampler(lambda: [status], burn_actor)
    sampler.sample(10.0, 1010.0)
    sampler.sample(12.0, 1012.0)
    (row,) = sampler.group_rows(15.0)
    assert (row.state, row.stranded_accelerators) == (state, stranded)
    assert sampler.stranded_accelerators == stranded
    assert row.stranded_s == (5.0 if state == "incomplete" else 0.0)
    assert len(burn_actor.calls) == (0 if state == "leaving" else 1)


def test_group_counted_by_another_node_is_shown_but_not_recorded():
    burn_actor = _RecordingBurnActor()
    sampler = group_sampler.GroupSampler(lambda: [_status(True, is_counted_here=False)], burn_actor)
    sampler.sample(10.0, 1010.0)
    sampler.sample(12.0, 1012.0)
    assert burn_actor.calls == []
    assert len(sampler.group_rows(13.0)) == 1
