"""Seeded simulations of streams.

They check that callers receive exactly their own response. Deliberate faults show that the check
detects the absence of the mechanisms that it covers.
"""

import collections

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import event_splitter, execution, execution_decisions
from lynxlanding.requests.tests import stream_simulation

SCHEDULES = 1053


def violations(simulation):
    """Return the results that callers must never receive."""
    found = []
    for stream in simulation.streams:
        expected = [*stream.tokens, event_splitter.DONE]
        if stream.error is None and stream.received != expected:
            found.append(("incomplete", stream))
        if stream.error is not None and stream.received != stream.tokens[: len(stream.received)]:
            found.append(("not a prefix", stream))
        if stream.error is not None and stream.refused_at != stream.failed_at:
            found.append(("late refusal", stream))
        if (
            stream.received
            and stream.error is not None
            and stream.error.executed == request_errors.EXECUTED_NO
        ):
            found.append(("false refusal", stream))
    return found


def test_callers_receive_exactly_their_own_stream():
    """Guards against swapped, truncated, duplicated and delayed responses."""
    totals = collections.Counter()
    for seed in range(SCHEDULES):
        simulation = stream_simulation.StreamSimulation(seed).run()
        assert not violations(simulation), f"seed {seed}: {violations(simulation)}"
        for stream in simulation.streams:
            totals["complete" if stream.error is None else "refused"] += 1
            totals["resumed"] += stream.request_execution.attempts > 1 and stream.error is None
            totals["dropped"] += stream.request_execution.dropped
            totals["duplicates"] += stream.request_execution.duplicates
    # Every kind of result must actually have occurred.
    assert totals["complete"] > 2 * SCHEDULES, totals
    assert totals["resumed"] > SCHEDULES / 2, totals
    for name in ("refused", "dropped", "duplicates"):
        assert totals[name] > 100, totals


class IgnoresAttemptId(execution.Execution):
    """Deliberate fault: deliveries of a replaced attempt are attributed to the current one."""

    def on_events(self, attempt_id, events):
        return super().on_events(self._attempt_id, events)


class IgnoresEchoedIds(execution.Execution):
    """Deliberate fault: the ids in the response are not compared."""

    def on_response(self, attempt_id, status, headers, retry_after_s=None):
        own = {"x-request-id": self._request_id, "x-attempt-id": attempt_id}
        return super().on_response(attempt_id, status, {**headers, **own}, retry_after_s)


class IgnoresEventNumbers(execution.Execution):
    """Deliberate fault: events are forwarded regardless of their numbers."""

    def on_events(self, attempt_id, events):
        if attempt_id != self._attempt_id:
            return execution_decisions.Drop()
        done = event_splitter.DONE in events
        if done:
            self._attempt_id = None
        return execution_decisions.Forward(events, done)


class AcceptsTruncatedStream(execution.Execution):
    """Deliberate fault: a stream that ends without its last event counts as complete."""

    def on_failure(self, attempt_id, error, now):
        if isinstance(error, endpoint_errors.ResponseTruncated):
            self._attempt_id = None
            return execution_decisions.Complete()
        return super().on_failure(attempt_id, error, now)


class AlwaysReportsNotExecuted(execution.Execution):
    """Deliberate fault: every refusal states that the request was not executed."""

    @property
    def executed(self):
        return request_errors.EXECUTED_NO


@pytest.mark.parametrize(
    "execution_type",
    [
        IgnoresAttemptId,
        IgnoresEchoedIds,
        IgnoresEventNumbers,
        AcceptsTruncatedStream,
        AlwaysReportsNotExecuted,
    ],
)
def test_checks_detect_deliberate_faults(execution_type):
    """Guards against checks that would pass without the mechanism that they cover."""
    for seed in range(SCHEDULES):
        if violations(stream_simulation.StreamSimulation(seed, execution_type).run()):
            return
    pytest.fail("no simulation showed the deliberate fault")
