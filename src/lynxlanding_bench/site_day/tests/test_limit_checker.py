import pytest

from lynxlanding_bench.site_day import limit_checker


def arrivals_at(*times, node="n0"):
    return [limit_checker.Arrival(at, node, "e") for at in times]


@pytest.mark.parametrize(
    ("arrivals", "told_at", "worst"),
    [
        (arrivals_at(10.0, 11.0, 13.9, 14.0), {"n0": 0.0}, 3),
        (arrivals_at(10.0, 11.0), {}, 0),
        (arrivals_at(10.0, 11.0), {"n0": 10.6}, 0),
        (arrivals_at(1.0, 1.1, 1.2, 7.0), {"n0": 0.0}, 1),
        (arrivals_at(10.0, 11.0) + arrivals_at(12.0, node="n1"), {"n0": 0.0, "n1": 0.0}, 3),
    ],
)
def test_counts_requests_of_nodes_that_know_the_limit(arrivals, told_at, worst):
    """Guards against a checker that passes whatever arrives."""
    assert limit_checker.worst_window(arrivals, "e", told_at, 0.0, 20.0) == worst
