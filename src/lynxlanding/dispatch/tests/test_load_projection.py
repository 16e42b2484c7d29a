import pytest

from lynxlanding.dispatch import load_projection, load_tracker
from lynxlanding.dispatch.tests import dispatch_factories

SERVICE_TIME_S = 1.0


def make_projection(steady_count, burst_count):
    """Return a projection that has known a steady count, and then a burst at 10 s."""
    tracker = load_tracker.LoadTracker()
    projection = load_projection.LoadProjection(tracker)
    for tenth in range(100):
        now = tenth / 10
        tracker.replace_peer_counts("p", {"e0": steady_count}, now)
        projection.update_averages([dispatch_factories.make_head(0)], now)
    tracker.replace_peer_counts("p", {"e0": burst_count}, 10.0)
    return projection, tracker


@pytest.mark.parametrize("burst_count", [0, 20])
def test_old_counts_return_to_the_average(burst_count):
    """Guards against nodes that take an old count for the present load.

    All of them would avoid a head that was busy for a moment, and crowd onto one that was idle.
    """
    projection, _ = make_projection(5, burst_count)
    recent = projection.load("e0", SERVICE_TIME_S, 10.0)
    old = projection.load("e0", SERVICE_TIME_S, 13.0)
    assert recent == pytest.approx(burst_count, abs=2)
    assert old == pytest.approx(5, abs=1)


def test_own_requests_count_exactly():
    """Guards against a node that does not see at once what it has sent itself."""
    projection, tracker = make_projection(5, 5)
    before = projection.load("e0", SERVICE_TIME_S, 10.2)
    tracker.begin("e0")
    assert projection.load("e0", SERVICE_TIME_S, 10.2) == pytest.approx(before + 1)


def test_the_more_recent_source_counts():
    """Guards against an old digest that hides a load that the head has just reported."""
    projection, tracker = make_projection(5, 5)
    tracker.record_reported_load("e0", 25, 10.3)
    assert projection.load("e0", SERVICE_TIME_S, 10.3) == pytest.approx(25, abs=1)
