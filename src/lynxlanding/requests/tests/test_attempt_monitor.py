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
def test_abort_reason(elapsed_s, caller_left, reason):
    """Guards against streams that never end and slots that are kept for disconnected callers."""
    started_at = time.monotonic()
    own, peer = socket.socketpair()
    monitor = attempt_monitor.AttemptMonitor()
    attempt = attempt_monitor.MonitoredAttempt(started_at + 30.0, 10.0, lambda: caller_left)
    attempt.record_data(started_at)
    attempt.set_socket(own)
    monitor.add(attempt)
    monitor.check_all(started_at + elapsed_s)
    monitor.check_all(started_at + elapsed_s)
    assert attempt.reason == reason
    peer.setblocking(False)
    if reason is None:
        with pytest.raises(BlockingIOError):
            peer.recv(1)
    else:
        assert peer.recv(1) == b""
    own.close()
    peer.close()


def test_closed_connection_does_not_stop_the_monitor():
    """Guards against a monitor that fails and then leaves all later attempts unmonitored."""
    started_at = time.monotonic()
    own, peer = socket.socketpair()
    monitor = attempt_monitor.AttemptMonitor()
    attempt = attempt_monitor.MonitoredAttempt(started_at + 30.0, 1.0, lambda: False)
    attempt.record_data(started_at)
    attempt.set_socket(own)
    monitor.add(attempt)
    own.close()
    peer.close()
    monitor.check_all(started_at + 5.0)
    assert attempt.reason is None
