"""Simulation of engines that stream to a node, with injected faults."""

import dataclasses

import numpy as np

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.requests import event_splitter, execution, execution_decisions
from lynxlanding.requests.tests import virtual_clock
from lynxlanding.retry import retry_policy

STREAMS = 4
STALL_S = 0.5

DEATH = "death"
PAUSE = "pause"
STRAGGLER = "straggler"
PARTITION = "partition"
SWAPPED = "swapped"
GAP = "gap"
DUPLICATED = "duplicated"
TRUNCATED = "truncated"
FROM_START = "from_start"
KINDS = (DEATH, PAUSE, STRAGGLER, PARTITION, SWAPPED, GAP, DUPLICATED, TRUNCATED, FROM_START)


def faults_for_seed(seed):
    """Return the two fault kinds of a seed, which may be equal: one of 81 ordered pairs."""
    return KINDS[seed % 9], KINDS[seed // 9 % 9]


@dataclasses.dataclass
class Stream:
    """A request and what its caller has received."""

    request_id: str
    tokens: list[bytes]
    request_execution: execution.Execution
    received: list[bytes] = dataclasses.field(default_factory=list)
    error: object = None
    refused_at: float | None = None
    failed_at: float | None = None
    attempt_id: str | None = None
    last_data_at: float = 0.0


class StreamSimulation:
    """Simulates several concurrent streams, each with its own faults."""

    def __init__(self, seed, execution_type=execution.Execution):
        self.random = np.random.default_rng(seed)
        self.faults = faults_for_seed(seed)
        self.clock = virtual_clock.VirtualClock()
        self.policy = retry_policy.RetryPolicy()
        self.streams = []
        for number in range(STREAMS):
            request_id = f"r{number}"
            count = int(self.random.integers(1, 12))
            tokens = [b"id: %d\ndata: %d.%d" % (i, number, i) for i in range(count)]
            request_execution = execution_type(
                request_id, ("model", "m"), 4.0, idempotent=True, echo_required=True
            )
            self.streams.append(Stream(request_id, tokens, request_execution))

    def run(self):
        for stream in self.streams:
            self.policy.record_request()
            self._apply_decision(stream, stream.request_execution.begin(0.0))
        self.clock.run(60.0)
        return self

    def _random_time(self, limit=1.0):
        return float(self.random.uniform(0.0, limit))

    # Node

    def _apply_decision(self, stream, decision):
        now = self.clock.now
        if isinstance(decision, execution_decisions.AskRetry):
            retry_decision = self.policy.decide(decision.query, now)
            decision = stream.request_execution.on_retry_decision(retry_decision, now)
        if isinstance(decision, execution_decisions.Refuse):
            stream.error = decision.error
            stream.refused_at = now
            stream.attempt_id = None
        if isinstance(decision, execution_decisions.SendAttempt):
            stream.attempt_id = decision.attempt_id
            stream.last_data_at = now
            self._send_response(stream, decision)
            self._check_stall(stream, decision.attempt_id)

    def _check_stall(self, stream, attempt_id):
        if stream.attempt_id != attempt_id:
            return
        silence_s = self.clock.now - stream.last_data_at
        if silence_s >= STALL_S or self.clock.now >= 4.0:
            self._fail(stream, attempt_id, endpoint_errors.AttemptTimedOut("stalled"))
            return
        due_at = min(stream.last_data_at + STALL_S, 4.0)
        self.clock.schedule_at(due_at + 1e-9, self._check_stall, stream, attempt_id)

    def _fail(self, stream, attempt_id, error):
        if stream.attempt_id == attempt_id:
            stream.failed_at = self.clock.now
        self._apply_decision(
            stream, stream.request_execution.on_failure(attempt_id, error, self.clock.now)
        )

    def _on_response(self, stream, attempt_id, status, headers):
        stream.last_data_at = self.clock.now
        try:
            stream.request_execution.on_response(attempt_id, status, headers)
        except endpoint_errors.AttemptError as e:
            self._fail(stream, attempt_id, e)

    def _on_events(self, stream, attempt_id, events):
        # Late data of a replaced attempt must do no harm, so everything is passed to the
        # execution.
        stream.last_data_at = self.clock.now
        try:
            decision = stream.request_execution.on_events(attempt_id, events)
        except endpoint_errors.AttemptError as e:
            self._fail(stream, attempt_id, e)
            return
        if isinstance(decision, execution_decisions.Forward):
            stream.received.extend(decision.events)
            if decision.done:
                stream.attempt_id = None

    # Engines

    def _send_response(self, stream, decision):
        fault = None
        if self.random.random() < 0.6:
            fault = self.faults[self.random.integers(2)]
        attempt_id = decision.attempt_id
        source = stream
        echoed_id = stream.request_id
        if fault == SWAPPED:
            source = self.streams[self.random.integers(STREAMS)]
            echoed_id = source.request_id
        headers = {"x-request-id": echoed_id, "x-attempt-id": attempt_id}
        first = 0 if decision.last_event_id is None else decision.last_event_id + 1
        if fault == FROM_START:
            first = 0
        events = source.tokens[first:] + [event_splitter.DONE]
        middle = int(self.random.integers(len(events)))
        if fault == GAP and len(events) > 2:
            # [DONE] has no number, so a gap is detected only if another token follows.
            del events[int(self.random.integers(len(events) - 2))]
        if fault == DUPLICATED:
            events.insert(middle, events[max(0, middle - 1)])
        if fault in (TRUNCATED, DEATH, PARTITION):
            events = events[:middle]
        at = self._random_time(0.05)
        self.clock.schedule_after(at, self._on_response, stream, attempt_id, 200, headers)
        position = 0
        while position < len(events):
            size = int(self.random.integers(1, 4))
            at += self._random_time(0.1)
            if fault == STRAGGLER:
                at += self._random_time(0.4)
            if fault == PAUSE and position >= middle:
                # The rest arrives after the attempt was replaced, perhaps during the next one.
                at += STALL_S + self._random_time(0.3)
                fault = None
            chunk = events[position : position + size]
            self.clock.schedule_after(at, self._on_events, stream, attempt_id, chunk)
            position += size
        if fault in (TRUNCATED, DEATH):
            error = endpoint_errors.ResponseTruncated("the stream ended without [DONE]")
            self.clock.schedule_after(at, self._fail, stream, attempt_id, error)
