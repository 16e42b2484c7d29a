import pytest

from lynxlanding.replicas import demand
from lynxlanding.replicas.tests import simulated_domain


def test_capacity_that_limits_take_away_adds_to_the_need():
    spec = simulated_domain.make_engine_spec()
    whole = demand.measured(spec, {"small": 5.0}, 60, {}).groups_by_model
    limited = demand.measured(spec, {"small": 5.0}, 60, {"small": 1.5}).groups_by_model
    assert limited["small"] == pytest.approx(whole["small"] + 1.5)
    assert limited["large"] == whole["large"]


def test_missing_share_falls_with_the_limit():
    spec = simulated_domain.make_engine_spec()
    shares = [demand.missing_group_share(spec, "small", limit) for limit in (0.0, 1.0, 5.0, 100.0)]
    assert shares[0] == 1.0
    assert shares == sorted(shares, reverse=True)
    assert shares[-1] == 0.0
