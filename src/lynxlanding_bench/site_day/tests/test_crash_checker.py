import dataclasses

import pytest

from lynxlanding_bench.site_day import crash_checker


@dataclasses.dataclass
class Response:
    sent_at: float
    is_whole: bool


def runs_at(*times):
    return [crash_checker.Run(at, "bad", "e") for at in times]


@pytest.mark.parametrize(
    ("run_times", "crashes", "late"),
    [
        ((1, 2, 3, 4, 5, 9, 9.5), (1, 2, 3, 4, 5), 2),
        ((1, 2, 3, 4, 5, 7.9), (1, 2, 3, 4, 5), 0),
        ((1, 2, 3, 4, 20), (1, 2, 3, 4), 0),
        ((9, 10, 11, 12), (5, 4, 3, 2, 1, 9, 10), 4),
    ],
)
def test_counts_requests_after_the_fifth_crash(run_times, crashes, late):
    """Guards against a checker that passes whatever reaches engines."""
    assert len(crash_checker.late_runs(runs_at(*run_times), crashes)) == late


def test_sound_requests_count_from_the_last_crash_if_there_are_fewer_than_five():
    """Guards against a checker that looks at sound requests in the wrong span."""
    assert crash_checker.sound_since([3.0, 1.0]) == 9.0
    assert crash_checker.sound_since([1.0, 2.0, 3.0, 4.0, 5.0, 6.0]) == 11.0
    responses = [Response(1.0, True), Response(2.0, False), Response(3.0, True)]
    assert crash_checker.served_share(responses, 1.0, 3.0) == 0.5
    assert crash_checker.served_share(responses, 4.0, 5.0) is None
