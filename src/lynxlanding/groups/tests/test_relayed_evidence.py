"""Invariants of groups over seeded schedules with delayed and repeated relayed evidence."""

import pytest

from lynxlanding.groups import clock_bounds
from lynxlanding.groups.tests import simulated_relay

SCHEDULES = 1000


def test_invariants_hold_with_relayed_evidence():
    """Guards against delayed, repeated or reordered messages that make evidence appear fresh."""
    served_count = relayed_count = 0
    for seed in range(SCHEDULES):
        simulation = simulated_relay.SimulatedRelay(seed).run()
        assert simulation.violations == [], f"seed {seed}"
        assert simulation.stale_orders == 0, f"seed {seed}"
        served_count += simulation.served_count
        relayed_count += simulation.relayed_count
    # The schedules only test something if groups serve and results are relayed.
    assert served_count > 10 * SCHEDULES
    assert relayed_count > 20 * SCHEDULES


@pytest.mark.parametrize(
    "relay_type",
    [simulated_relay.ArrivalTimeRelay, simulated_relay.SenderAgeOnlyRelay],
    ids=["arrival", "sender"],
)
def test_invariant_fails_with_wrong_age_of_relayed_evidence(relay_type):
    """Verifies that the schedules detect evidence without the probe time on the sender's clock."""
    for seed in range(SCHEDULES):
        violations = simulated_relay.SimulatedRelay(seed, relay_type=relay_type).run().violations
        if any(violation.startswith("incomplete group") for violation in violations):
            return
    pytest.fail("no group served with old evidence")


def test_stopped_local_clock_gives_no_time():
    """Guards against evidence that appears fresher after the hypervisor stopped the local clock."""
    clocks = clock_bounds.ClockBounds()
    clocks.record("b", "b/1", 100.0, 5000.0)
    assert clocks.earliest_local_time("b", "b/1", 5002.0, 103.0) == pytest.approx(102.0, abs=0.01)
    assert clocks.earliest_local_time("b", "b/1", 5030.0, 104.0) is None
    assert clocks.due_nodes(["b"], 104.0, 60.0) == ["b"]


def test_clock_of_previous_start_gives_no_time():
    """Guards against times of another process, or another VM, with the same name."""
    clocks = clock_bounds.ClockBounds()
    clocks.record("b", "b/1", 100.0, 5000.0)
    assert clocks.earliest_local_time("b", "b/2", 5000.0, 101.0) is None
