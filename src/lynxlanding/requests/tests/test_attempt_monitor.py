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


@pytest.mark.parametrize("ends_in_own_check", [True, False])
def test_attempt_that_ends_during_the_checks_is_not_aborted(ends_in_own_check):
    """Guards against the shutdown of a connection that another request uses by now.

    A check waits for the state of the caller's connection. In the meantime, the response may
    become complete, so that the caller leaves and the connection is used again.
    """
    now = time.monotonic()
    own, peer = socket.socketpair()
    monitor = attempt_monitor.AttemptMonitor()

    def end_other():
        monitor.discard(ending)
        return True

    ending = attempt_monitor.MonitoredAttempt(
        now + 30.0, 10.0, end_other if ends_in_own_check else lambda: True
    )
    ending.set_socket(own)
    checked_before = attempt_monitor.MonitoredAttempt(now + 30.0, 10.0, end_other)
    unrelated, unrelated_peer = socket.socketpair()
    checked_before.set_socket(unrelated)
    # The order of the checks is that of a set, so the ending one is added to a snapshot.
    monitor.add(ending)
    attempts = [ending] if ends_in_own_check else [checked_before, ending]
    for attempt in attempts:
        attempt.check(now)
    assert ending.reason is None
    peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        peer.recv(1)
    for item in (own, peer, unrelated, unrelated_peer):
        item.close()
