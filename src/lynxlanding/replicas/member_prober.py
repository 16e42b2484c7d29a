"""Probes engines that are suspected to be lost."""

import dataclasses
import threading
import time

import eliot

from lynxlanding.errors import endpoint as endpoint_errors

# Pause between two probes of an engine.
PROBE_INTERVAL_S = 0.25
# Probes in a row without an answer after which an engine counts as silent. One can be lost on the
# way, together with its retransmission.
SILENT_PROBES = 2
# Results older than this say nothing.
RESULT_LIFETIME_S = 3.0
# An engine without a registration counts as present for this long after an answer.
ANSWER_AGE_S = 1.2

SILENT = "lynxlanding:engine:silent"
ANSWERS = "lynxlanding:engine:answers_again"


@dataclasses.dataclass(slots=True)
class _State:
    begun_at: float = 0.0
    is_running: bool = False
    failures: int = 0
    first_failure_at: float = 0.0
    ended_at: float = 0.0
    answered_at: float | None = None
    answered_born_ms: int = 0


class MemberProber:
    """Remembers which engines do not answer.

    Where no engine answers, the node may be cut off or held up itself, and says nothing about
    them: an engine is silent only if another one has answered since its first lost probe.

    Parameters
    ----------
    engine_client : EngineClient
        Fetches reports.
    """

    def __init__(self, engine_client):
        self._client = engine_client
        self._states = {}
        self._last_answer_at = None

    def probe(self, record, now):
        """Probe an engine unless that was done a moment ago."""
        state = self._states.setdefault(record.endpoint_id, _State())
        if state.is_running or now - state.begun_at < PROBE_INTERVAL_S:
            return
        if now - state.ended_at > RESULT_LIFETIME_S:
            state.failures = 0
        state.begun_at = now
        state.is_running = True
        threading.Thread(target=self._run, args=(record, state), daemon=True).start()

    def forget(self, endpoint_id):
        """Forget an engine that is gone."""
        self._states.pop(endpoint_id, None)

    def is_silent(self, endpoint_id, now):
        """Return whether the engine has left its last probes without an answer."""
        state = self._states.get(endpoint_id)
        if state is None or now - state.ended_at > RESULT_LIFETIME_S:
            return False
        if state.failures < SILENT_PROBES or self._last_answer_at is None:
            return False
        return self._last_answer_at > state.first_failure_at

    def has_answered(self, record, now):
        """Return whether the same incarnation has answered a probe a moment ago."""
        state = self._states.get(record.endpoint_id)
        if state is None or state.answered_at is None:
            return False
        return state.answered_born_ms == record.born_ms and now - state.answered_at <= ANSWER_AGE_S

    def _run(self, record, state):
        started_at = time.monotonic()
        try:
            report = self._client.fetch_report(record)
        except (endpoint_errors.AttemptTimedOut, endpoint_errors.ConnectionRefused) as e:
            if state.failures == 0:
                state.first_failure_at = started_at
            state.failures += 1
            if state.failures == SILENT_PROBES:
                eliot.log_message(
                    message_type=SILENT, endpoint=record.endpoint_id, detail=str(e)[:200]
                )
        except endpoint_errors.AttemptError:
            # Any response shows that something lives there.
            self._note_answer(record, state)
        else:
            self._note_answer(record, state)
            state.answered_at = time.monotonic()
            state.answered_born_ms = report.born_ms
        finally:
            state.ended_at = time.monotonic()
            state.is_running = False

    def _note_answer(self, record, state):
        if state.failures >= SILENT_PROBES:
            eliot.log_message(message_type=ANSWERS, endpoint=record.endpoint_id)
        state.failures = 0
        self._last_answer_at = time.monotonic()
