import pytest

from lynxlanding.daemon import group_sampler


class _Burn:
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


def test_time_is_counted_by_state():
    """Guards against downtime that is counted for a group that serves, or the reverse."""
    burn = _Burn()
    states = [_status(True), _status(True), _status(False, reason="vm_missing", stranded=16)]
    watch = group_sampler.GroupWatch(lambda: [states.pop(0)], burn)
    for moment in (10.0, 12.0, 14.0):
        watch.sample(moment, 1000.0 + moment)
    up, down = burn.calls
    assert (up[0][0].serving, up[1]) == (True, 2.0)
    assert (down[0][0].serving, down[0][0].stranded, down[1]) == (False, 16, 2.0)


def test_pause_of_the_node_is_not_counted():
    """Guards against hours of downtime that nobody observed."""
    burn = _Burn()
    watch = group_sampler.GroupWatch(lambda: [_status(False, reason="vm_missing")], burn)
    watch.sample(10.0, 1010.0)
    watch.sample(4000.0, 5000.0)
    assert burn.calls[0][1] == group_sampler.MAX_ELAPSED_S


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
def test_states_of_the_query_language(status, state, stranded):
    """Guards against a planned stop that is shown, or counted, as stranded accelerators."""
    burn = _Burn()
    watch = group_sampler.GroupWatch(lambda: [status], burn)
    watch.sample(10.0, 1010.0)
    watch.sample(12.0, 1012.0)
    (row,) = watch.group_rows(15.0)
    assert (row.state, row.stranded_accelerators) == (state, stranded)
    assert watch.stranded_accelerators == stranded
    assert row.stranded_s == (5.0 if state == "incomplete" else 0.0)
    assert len(burn.calls) == (0 if state == "leaving" else 1)


def test_other_nodes_domain_is_not_counted():
    burn = _Burn()
    watch = group_sampler.GroupWatch(lambda: [_status(True, is_counted_here=False)], burn)
    watch.sample(10.0, 1010.0)
    watch.sample(12.0, 1012.0)
    assert burn.calls == []
    assert len(watch.group_rows(13.0)) == 1
