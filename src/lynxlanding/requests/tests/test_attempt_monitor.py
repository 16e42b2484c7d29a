import socket
import time

import pytest

from lynxlanding.requests import attempt_monitor


@pytest.mark.parametrize(
    ("elapsed_s", "caller_left", "reason"),
    [
        (5.0, False, None),
        (12.0, False, "stalled"),
        (31.0, False, "deadline"),
        (5.0, True, "caller left"),
    ],
)
def test_aborts_for_the_right_reason(elapsed_s, caller_left, reason):
    """Guards against streams that hang for ever and slots kept for callers that have left."""
    started_at = time.monotonic()
    own, other = socket.socketpair()
    monitor = attempt_monitor.AttemptMonitor()
    attempt = attempt_monitor.MonitoredAttempt(started_at + 30.0, 10.0, lambda: caller_left)
    attempt.note_data(started_at)
    attempt.attach(own)
    monitor.add(attempt)
    monitor.check_all(started_at + elapsed_s)
    monitor.check_all(started_at + elapsed_s)
    assert attempt.reason == reason
    other.setblocking(False)
    if reason is None:
        with pytest.raises(BlockingIOError):
            other.recv(1)
    else:
        assert other.recv(1) == b""
    own.close()
    other.close()


def test_an_attempt_whose_connection_has_closed_does_not_end_the_checks():
    """Guards against a monitor that dies and leaves every later attempt unwatched."""
    started_at = time.monotonic()
    own, other = socket.socketpair()
    monitor = attempt_monitor.AttemptMonitor()
    attempt = attempt_monitor.MonitoredAttempt(started_at + 30.0, 1.0, lambda: False)
    attempt.note_data(started_at)
    attempt.attach(own)
    monitor.add(attempt)
    own.close()
    other.close()
    monitor.check_all(started_at + 5.0)
    assert attempt.reason is None
