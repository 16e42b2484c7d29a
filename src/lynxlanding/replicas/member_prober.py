"""Probes engines that are suspected to have failed."""

import dataclasses
import threading
import time

import eliot

from lynxlanding.errors import endpoint as endpoint_errors

# Minimum interval between probes of the same engine.
PROBE_INTERVAL_S = 0.25
# Consecutive unanswered probes after which an engine counts as silent. A single probe can be lost
# in the network, together with its retransmission.
SILENT_AFTER_FAILURES = 2
# Engines that answer do so within this time. A connection is refused sooner than that, so a probe
# that fails waits for the answers of others.
CONTROL_ANSWER_S = 0.1
# Older probe results are ignored.
RESULT_LIFETIME_S = 3.0
# An engine without a registration counts as present for this long after answering a probe.
MAX_ANSWER_AGE_S = 1.2

SILENT = "lynxlanding:engine:silent"
ANSWERS_AGAIN = "lynxlanding:engine:answers_again"


@dataclasses.dataclass(slots=True)
class _ProbeState:
    probe_started_at: float = 0.0
    is_running: bool = False
    failures: int = 0
    first_failure_at: float = 0.0
    probe_ended_at: float = 0.0
    answered_at: float | None = None
    answered_started_ms: int = 0
    unfinished: int = 0


class MemberProber:
    """Tracks which engines do not answer probes.

    If no engine answers, the node itself may be disconnected or stalled, or all engines may be
    paused, which says nothing about a single one. A probe therefore counts as unanswered only if
    some engine has answered while it was waiting.

    Parameters
    ----------
    engine_client : EngineClient
        Fetches the reports.
    """

    def __init__(self, engine_client):
        self._client = engine_client
        self._states = {}
        self._last_answer_at = None

    def probe(self, record, now):
        """Probe an engine unless a probe is running or has started only recently."""
        state = self._states.setdefault(record.endpoint_id, _ProbeState())
        if state.is_running or now - state.probe_started_at < PROBE_INTERVAL_S:
            return
        if now - state.probe_ended_at > RESULT_LIFETIME_S:
            state.failures = 0
        state.probe_started_at = now
        state.is_running = True
        threading.Thread(target=self._run, args=(record, state), daemon=True).start()

    def remove(self, endpoint_id):
        """Remove the state of an engine that is gone."""
        self._states.pop(endpoint_id, None)

    def is_silent(self, endpoint_id, now):
        """Return whether the engine has not answered its latest probes."""
        return self.silent_since(endpoint_id, now) is not None

    def silent_since(self, endpoint_id, now):
        """Return when the first unanswered probe began, monotonic seconds; None if it answers."""
        state = self._states.get(endpoint_id)
        if state is None or now - state.probe_ended_at > RESULT_LIFETIME_S:
            return None
        return state.first_failure_at if state.failures >= SILENT_AFTER_FAILURES else None

    def has_answered(self, record, now):
        """Return whether this incarnation of the engine has recently answered a probe."""
        state = self._states.get(record.endpoint_id)
        if state is None or state.answered_at is None:
            return False
        return (
            state.answered_started_ms == record.started_ms
            and now - state.answered_at <= MAX_ANSWER_AGE_S
        )

    def has_work(self, endpoint_id):
        """Return whether the engine has reported unfinished requests with its last answer."""
        state = self._states.get(endpoint_id)
        return state is not None and state.unfinished > 0

    def _run(self, record, state):
        started_at = time.monotonic()
        try:
            report = self._client.fetch_report(record)
        except (endpoint_errors.AttemptTimedOut, endpoint_errors.ConnectionRefused) as e:
            self._record_failure(record, state, started_at, e)
        except endpoint_errors.AttemptError:
            # Any response, even an error, shows that a process is running there.
            self._record_answer(record, state)
        else:
            self._record_answer(record, state)
            state.answered_at = time.monotonic()
            state.answered_started_ms = report.started_ms
            state.unfinished = report.running + report.waiting
        finally:
            state.probe_ended_at = time.monotonic()
            state.is_running = False

    def _record_failure(self, record, state, started_at, error):
        time.sleep(max(0.0, started_at + CONTROL_ANSWER_S - time.monotonic()))
        if self._last_answer_at is None or self._last_answer_at < started_at:
            return
        if state.failures == 0:
            state.first_failure_at = started_at
        state.failures += 1
        if state.failures == SILENT_AFTER_FAILURES:
            eliot.log_message(
                message_type=SILENT, endpoint=record.endpoint_id, detail=str(error)[:200]
            )

    def _record_answer(self, record, state):
        if state.failures >= SILENT_AFTER_FAILURES:
            eliot.log_message(message_type=ANSWERS_AGAIN, endpoint=record.endpoint_id)
        state.failures = 0
        self._last_answer_at = time.monotonic()
