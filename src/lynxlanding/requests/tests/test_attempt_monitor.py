import pytest

from lynxlanding.requests import attempt_monitor


@pytest.mark.parametrize(
    ("now", "caller_left", "reason"),
    [
        (5.0, False, None),
        (12.0, False, "stalled"),
        (31.0, False, "deadline"),
        (5.0, True, "caller left"),
    ],
)
def test_aborts_for_the_right_reason(now, caller_left, reason):
    """Guards against streams that hang for ever and slots kept for callers that have left."""
    aborted = []
    monitor = attempt_monitor.AttemptMonitor()
    attempt = attempt_monitor.MonitoredAttempt(
        lambda: aborted.append(True), 30.0, 10.0, lambda: caller_left
    )
    attempt.last_data_at = 0.0
    monitor.add(attempt)
    monitor.check_all(now)
    monitor.check_all(now)
    assert attempt.reason == reason
    assert len(aborted) == (reason is not None)
