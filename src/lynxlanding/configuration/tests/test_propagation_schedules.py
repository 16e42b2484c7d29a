import pytest

from lynxlanding.configuration import propagation, propagation_decisions
from lynxlanding.configuration.tests import propagation_schedules

SCHEDULES = 1000
DEFECT_SCHEDULES = 20


class AcceptsLowerRevisions(propagation.Propagation):
    """Adopts lower revisions too."""

    def _is_newer(self, number):
        return number != self.number


class MeasuresAgeFromArrival(propagation.Propagation):
    """Measures the age of a revision report from its arrival instead of from the request."""

    def on_revision_report(self, peer, report, sent_at, now):
        return super().on_revision_report(peer, report, now, now)


class StartsImmediately(propagation.Propagation):
    """Starts without waiting for a recent revision."""

    def _check_startup(self, now):
        if self._has_started:
            return []
        self._has_started = True
        return [propagation_decisions.Started()]


class IgnoresPeers(propagation.Propagation):
    """Ignores the revision reports of peers."""

    def on_revision_report(self, peer, report, sent_at, now):
        return []


def _violations(seeds, propagation_class=propagation.Propagation):
    failures = []
    for seed in seeds:
        violations = propagation_schedules.Schedule(seed, propagation_class).run()
        if violations:
            failures.append((seed, violations))
    return failures


def test_nodes_never_revert_and_reach_the_head():
    """Guards against nodes that revert to an older revision or never reach the head.

    Faults are outages, pauses, partitions, restarts and delayed messages.
    """
    assert _violations(range(SCHEDULES)) == []


@pytest.mark.parametrize(
    ("defect", "symptom"),
    [
        (AcceptsLowerRevisions, "reverts"),
        (MeasuresAgeFromArrival, "is certain of"),
        (StartsImmediately, "starts with"),
        (IgnoresPeers, "ends as"),
    ],
)
def test_schedules_detect_defect(defect, symptom):
    """Guards against schedules that do not detect a node without the mechanism."""
    assert symptom in str(_violations(range(DEFECT_SCHEDULES), defect))
