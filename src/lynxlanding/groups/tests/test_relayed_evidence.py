"""G1 over seeded schedules in which the evidence of other nodes is delayed and repeated."""

import pytest

from lynxlanding.groups import clock_bounds
from lynxlanding.groups.tests import simulated_relay

SCHEDULES = 1000


def test_groups_hold_g1_and_g2_with_relayed_evidence():
    """Guards against late, repeated or reordered messages that make evidence look fresh."""
    served = relayed = 0
    for seed in range(SCHEDULES):
        world = simulated_relay.RelayWorld(seed).run()
        assert world.violations == [], f"seed {seed}"
        assert world.stale_orders == 0, f"seed {seed}"
        served += world.served
        relayed += world.relayed
    # Schedules in which nothing serves or nothing is relayed would show nothing.
    assert served > 10 * SCHEDULES
    assert relayed > 20 * SCHEDULES


@pytest.mark.parametrize(
    "relay_type",
    [simulated_relay.ArrivalRelay, simulated_relay.SenderAgeRelay],
    ids=["arrival", "sender"],
)
def test_g1_fails_when_the_age_travels_wrongly(relay_type):
    """Shows that the schedules need the time of the probe on the clock of its sender."""
    for seed in range(SCHEDULES):
        violations = simulated_relay.RelayWorld(seed, relay_type=relay_type).run().violations
        if any(violation.startswith("G1") for violation in violations):
            return
    pytest.fail("no group served on old evidence")


def test_clock_that_stood_still_gives_no_time():
    """Guards against evidence that looks younger after the hypervisor stopped this clock."""
    clocks = clock_bounds.ClockBounds()
    clocks.record("b", "b/1", 100.0, 5000.0)
    assert clocks.earliest("b", "b/1", 5002.0, 103.0) == pytest.approx(102.0, abs=0.01)
    assert clocks.earliest("b", "b/1", 5030.0, 104.0) is None
    assert clocks.due(["b"], 104.0, 60.0) == ["b"]


def test_clock_of_an_earlier_start_gives_no_time():
    """Guards against times of another process, or of another VM, under the same name."""
    clocks = clock_bounds.ClockBounds()
    clocks.record("b", "b/1", 100.0, 5000.0)
    assert clocks.earliest("b", "b/2", 5000.0, 101.0) is None
