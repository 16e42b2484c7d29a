import pytest

from lynxlanding.configuration import propagation, propagation_decisions
from lynxlanding.configuration.tests import propagation_schedules

SCHEDULES = 1000
MUTATION_SCHEDULES = 20


class AnyRevision(propagation.Propagation):
    """Moves to lower revisions too."""

    def _is_newer(self, number):
        return number != self.number


class AgeFromArrival(propagation.Propagation):
    """Counts the age of a mark from its arrival instead of from the request."""

    def on_mark(self, peer, peer_mark, sent_at, now):
        return super().on_mark(peer, peer_mark, now, now)


class ImmediateStart(propagation.Propagation):
    """Starts with whatever it holds."""

    def _finish_start(self, now):
        if self._has_started:
            return []
        self._has_started = True
        return [propagation_decisions.Started()]


class WatchersOnly(propagation.Propagation):
    """Leaves the head to the watchers and learns nothing from peers."""

    def on_mark(self, peer, peer_mark, sent_at, now):
        return []


def _violations(seeds, propagation_type=propagation.Propagation):
    found = []
    for seed in seeds:
        violations = propagation_schedules.Schedule(seed, propagation_type).run()
        if violations:
            found.append((seed, violations))
    return found


def test_nodes_never_revert_and_reach_the_head():
    """Guards G8 against outages, pauses, partitions, restarts and late messages."""
    assert _violations(range(SCHEDULES)) == []


@pytest.mark.parametrize(
    ("mutation", "symptom"),
    [
        (AnyRevision, "reverts"),
        (AgeFromArrival, "is certain of"),
        (ImmediateStart, "starts with"),
        (WatchersOnly, "ends as"),
    ],
)
def test_schedules_find_a_missing_mechanism(mutation, symptom):
    """Guards against schedules that a node without the mechanism survives."""
    assert symptom in str(_violations(range(MUTATION_SCHEDULES), mutation))
