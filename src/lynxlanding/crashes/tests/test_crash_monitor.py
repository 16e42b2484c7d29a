"""Which failed attempts are evidence on the parts of their prompts."""

import dataclasses
import time

import pytest

from lynxlanding.crashes import crash_monitor, part_guard
from lynxlanding.dispatch.tests import dispatch_factories
from lynxlanding.errors import endpoint as endpoint_errors

PARTS = (0xA1, 0xBAD)
BROKEN = endpoint_errors.ResponseTruncated("broke")


class FakePool:
    """Tells of every address that it refuses connections, or that it listens."""

    def __init__(self, listens=False):
        self.listens = listens
        self.checked = []

    def is_listening(self, record):
        self.checked.append(record.endpoint_id)
        return self.listens


class KeepingGuard(part_guard.PartGuard):
    """Keeps what it is told."""

    def __init__(self):
        super().__init__("n0")
        self.ends = []
        self.harmless = []
        self.ended = []

    def on_ended(self, record, now):
        self.ended.append(record.endpoint_id)

    def record_end(self, statement, now):
        self.ends.append(statement)

    def record_harmless(self, parts, begun_at, now):
        self.harmless.append(parts)


def make_monitor(listens=False):
    pool = FakePool(listens)
    guard = KeepingGuard()
    return crash_monitor.CrashMonitor(pool, guard, guard.on_ended), pool, guard


def record(monitor, error=BROKEN, endpoint=None, parts=PARTS, begun_s=None):
    now = time.monotonic()
    endpoint = endpoint or dispatch_factories.make_head(0)
    begun_at = None if begun_s is None else now - begun_s
    return monitor.record_failure(endpoint, parts, error, now - 0.2, begun_at)


def test_broken_attempt_at_an_address_that_refuses_connections_is_an_end():
    monitor, _, guard = make_monitor()
    assert record(monitor)
    assert set(guard.ends[0].sent_at_by_part) == set(PARTS)
    assert guard.ended == ["e0"]


@pytest.mark.parametrize(
    "error",
    [
        endpoint_errors.AttemptTimedOut("stalled"),
        endpoint_errors.AttemptTimedOut("caller left"),
        endpoint_errors.EndpointRefused(503),
        endpoint_errors.ConnectionRefused("silent"),
        endpoint_errors.ResponseMismatch("another"),
        endpoint_errors.EventGap("gap"),
        endpoint_errors.MalformedResponse("spoilt"),
    ],
)
def test_other_failures_are_no_ends(error):
    """Guards against blaming prompts for silent, stalled, leaving or faulty endpoints."""
    monitor, pool, guard = make_monitor()
    assert not record(monitor, error)
    assert guard.ends == pool.checked == []


def test_reset_connection_of_an_endpoint_that_listens_is_no_end():
    monitor, _, guard = make_monitor(listens=True)
    assert not record(monitor)
    assert guard.ends == []


def test_endpoint_that_leaves_may_end():
    monitor, _, guard = make_monitor()
    leaving = dataclasses.replace(dispatch_factories.make_head(0), is_leaving=True)
    assert not record(monitor, endpoint=leaving)
    assert guard.ends == []


def test_answer_that_was_written_for_long_is_not_the_cause():
    """Guards against blaming requests that ran on the engine when another one ended it."""
    monitor, _, guard = make_monitor()
    assert record(monitor, begun_s=crash_monitor.HARMLESS_AFTER_S + 0.1)
    assert guard.harmless == [PARTS]
    assert record(monitor, begun_s=0.1, parts=(0xBAD,))
    assert [set(end.sent_at_by_part) for end in guard.ends] == [set(), {0xBAD}]


def test_connection_that_is_refused_later_explains_earlier_breaks():
    """Guards against an endpoint that still accepted a connection while it was ending."""
    monitor, pool, guard = make_monitor(listens=True)
    record(monitor)
    record(monitor, parts=(0xC0,))
    assert pool.checked == ["e0"]
    assert record(monitor, endpoint_errors.NotListening("refused"), parts=(0xD0,))
    assert set(guard.ends[0].sent_at_by_part) == {0xA1, 0xBAD, 0xC0}
