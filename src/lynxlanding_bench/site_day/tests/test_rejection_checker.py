import pytest

from lynxlanding_bench.site_day import rejection_checker


def arrival(at, retry_after_s=None, node="n0", endpoint_id="e0"):
    return rejection_checker.Arrival(at, node, endpoint_id, retry_after_s)


@pytest.mark.parametrize(
    ("arrivals", "worst"),
    [
        ([arrival(0.0, 3.0), arrival(0.4), arrival(0.6), arrival(2.0), arrival(2.9)], 3),
        ([arrival(0.0, 3.0), arrival(3.1), arrival(3.2)], 0),
        ([arrival(0.0, 3.0), arrival(1.0, node="n1"), arrival(1.0, endpoint_id="e1")], 0),
        ([arrival(0.0, 1.0), arrival(2.0, 9.0), arrival(3.0), arrival(4.0)], 2),
        ([arrival(1.0), arrival(2.0)], 0),
    ],
)
def test_counts_requests_in_the_time_that_an_endpoint_has_stated(arrivals, worst):
    """Guards against a checker that passes whatever reaches a rejecting endpoint."""
    assert rejection_checker.worst_count(arrivals) == worst
