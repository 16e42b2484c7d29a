"""Placement of many nodes that know each other's loads only from reports."""

import pytest

from lynxlanding.dispatch.tests import fleet_simulation

# The page of requirements allows 5 percentage points less than an ideal balancer.
MAX_ON_TIME_LOSS = 0.05


def make_first_fleet(nodes, scale=1.0, **options):
    """Return a fleet with a busy model and one of two classes; the rates follow ``scale``."""
    return fleet_simulation.Fleet(
        nodes,
        {"small": (round(45 * scale), 0.6), "large": (round(9 * scale), 1.0)},
        [
            fleet_simulation.RequestClass("small", 222 * scale, 674, 168, 0.253, 0),
            fleet_simulation.RequestClass("large", 11.3 * scale, 1420, 168, 0.504, 1),
            fleet_simulation.RequestClass("large", 10 * scale, 1960, 24, 1.005, 2),
        ],
        **options,
    )


@pytest.mark.parametrize(("has_trouble", "max_rejected"), [(False, 0.01), (True, 0.04)])
def test_small_fleet_is_placed_nearly_as_by_an_ideal_balancer(has_trouble, max_rejected):
    """Guards against rejections in a fleet whose nodes all report to each other."""
    scale = 9 / 62
    ideal = fleet_simulation.measure(
        make_first_fleet(9, scale, is_ideal=True), has_trouble=has_trouble
    )
    measured = fleet_simulation.measure(make_first_fleet(9, scale), has_trouble=has_trouble)
    assert measured.rejected < max_rejected
    assert measured.on_time[0] >= ideal.on_time[0] - MAX_ON_TIME_LOSS
