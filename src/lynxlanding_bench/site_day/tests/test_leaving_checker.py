import pytest

from lynxlanding_bench.site_day import leaving_checker


def attempt(sent_at, node="n0", endpoint_id="e0", is_told=False):
    return leaving_checker.Attempt(sent_at, sent_at + 0.1, node, endpoint_id, is_told)


@pytest.mark.parametrize(
    ("attempts", "late", "late_of_all"),
    [
        ([attempt(1.0, is_told=True), attempt(3.0), attempt(3.2)], 1, 1),
        ([attempt(1.0, is_told=True), attempt(3.2, endpoint_id="e1")], 0, 0),
        ([attempt(1.0, is_told=True), attempt(3.2, "n1")], 0, 1),
        ([attempt(1.0), attempt(3.2)], 0, 0),
        ([attempt(2.0, is_told=True), attempt(1.0, is_told=True), attempt(3.5)], 1, 1),
    ],
)
def test_counts_requests_of_nodes_that_were_told(attempts, late, late_of_all):
    """Guards against a checker that passes whatever reaches a leaving endpoint."""
    assert len(leaving_checker.late_attempts(attempts, "e0")) == late
    assert len(leaving_checker.late_attempts_of_all(attempts, "e0")) == late_of_all
