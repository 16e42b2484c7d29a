"""G3 over seeded fault schedules of streams, and that its checks see planted faults."""

import collections

import pytest

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import event_splitter, execution, execution_decisions
from lynxlanding.requests.tests import stream_simulation

SCHEDULES = 1053


def violations(world):
    """Return what callers must never see."""
    found = []
    for stream in world.streams:
        whole = [*stream.tokens, event_splitter.DONE]
        if stream.error is None and stream.received != whole:
            found.append(("not whole", stream))
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


def test_schedules_keep_the_guarantee():
    """Guards against swapped, truncated, doubled and held-back responses."""
    totals = collections.Counter()
    for seed in range(SCHEDULES):
        world = stream_simulation.StreamWorld(seed).run()
        assert not violations(world), f"seed {seed}: {violations(world)}"
        for stream in world.streams:
            totals["whole" if stream.error is None else "refused"] += 1
            totals["resumed"] += stream.running.attempts > 1 and stream.error is None
            totals["dropped"] += stream.running.dropped
            totals["duplicates"] += stream.running.duplicates
    # The schedules must exercise what they are meant to exercise.
    assert totals["whole"] > 2 * SCHEDULES, totals
    assert totals["resumed"] > SCHEDULES / 2, totals
    for name in ("refused", "dropped", "duplicates"):
        assert totals[name] > 100, totals


class IgnoresAttempt(execution.Execution):
    """Planted fault: deliveries of a replaced attempt are taken for the current one."""

    def on_events(self, attempt_id, events):
        return super().on_events(self._attempt_id, events)


class IgnoresEcho(execution.Execution):
    """Planted fault: the identity in the response is not compared."""

    def on_response(self, attempt_id, status, headers, retry_after_s=None):
        own = {"x-request-id": self._request_id, "x-attempt-id": attempt_id}
        return super().on_response(attempt_id, status, {**headers, **own}, retry_after_s)


class IgnoresPosition(execution.Execution):
    """Planted fault: events are forwarded without regard to their numbers."""

    def on_events(self, attempt_id, events):
        if attempt_id != self._attempt_id:
            return execution_decisions.Drop()
        done = event_splitter.DONE in events
        if done:
            self._attempt_id = None
        return execution_decisions.Forward(events, done)


class TakesEndForDone(execution.Execution):
    """Planted fault: a stream that ends without its last event counts as complete."""

    def on_failure(self, attempt_id, error, now):
        if isinstance(error, endpoint_errors.ResponseTruncated):
            self._attempt_id = None
            return execution_decisions.Complete()
        return super().on_failure(attempt_id, error, now)


class SaysNo(execution.Execution):
    """Planted fault: every refusal says that the request did not run."""

    @property
    def executed(self):
        return request_errors.EXECUTED_NO


@pytest.mark.parametrize(
    "execution_type", [IgnoresAttempt, IgnoresEcho, IgnoresPosition, TakesEndForDone, SaysNo]
)
def test_checks_see_planted_faults(execution_type):
    """Guards against a property test that would pass without the mechanism it tests."""
    for seed in range(SCHEDULES):
        if violations(stream_simulation.StreamWorld(seed, execution_type).run()):
            return
    pytest.fail("no schedule showed the planted fault")
