"""Finds out which attempts broke because their endpoint has ended."""

import time

import eliot

from lynxlanding.crashes import (
    broken_attempt,
    crash_evidence,
    end_tracker,
    part_log,
    request_digest,
    statements,
)
from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.fleet import endpoint_key

ENDPOINT_ENDED = "lynxlanding:endpoint:ended"

# What has shown the end of an endpoint.
NOT_LISTENING = "not listening"
RESTARTED = "restarted"

# A part that crashes endpoints does so soon after they begin to write the answer. An answer that
# has been written for this long is not the cause of a later end.
HARMLESS_AFTER_S = 1.0

# Failures after which the endpoint may have ended.
_BREAKS = (endpoint_errors.ConnectionBroken, endpoint_errors.ResponseTruncated)


class CrashMonitor:
    """Turns failed and complete attempts into evidence on parts of prompts.

    Request threads call it directly.

    Parameters
    ----------
    pool : ConnectionPool
        Tells whether an endpoint listens.
    guard : PartGuard
        Receives the evidence.
    on_ended : callable
        Called with what names an endpoint whose process has ended (``endpoint_id`` and
        ``started_ms``), and the time.
    is_cut : callable
        Returns whether this node reaches no endpoint, so that an address tells nothing.
    """

    def __init__(self, pool, guard, on_ended, is_cut=lambda: False):
        self._pool = pool
        self._guard = guard
        self._on_ended = on_ended
        self._is_cut = is_cut
        self._tracker = end_tracker.EndTracker()

    def record_failure(self, record, prompt_parts, error, sent_at, begun_at):
        """Record a failed attempt; return whether its endpoint is known to have ended.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint of the attempt.
        prompt_parts : tuple of int
            Keys of the request and of the shared parts of its prompt.
        error : AttemptError
            Failure.
        sent_at : float
            When the request was sent, in monotonic seconds.
        begun_at : float or None
            When the first event of its answer arrived, in monotonic seconds; None if none has.
        """
        now = time.monotonic()
        if isinstance(error, endpoint_errors.NotListening):
            return self._record_refused(record, now)
        # A leaving endpoint that ends does so on purpose.
        if not isinstance(error, _BREAKS) or record.is_leaving:
            return False
        if begun_at is not None and now - begun_at >= HARMLESS_AFTER_S:
            self._guard.record_harmless(prompt_parts, begun_at, now)
            prompt_parts = ()
        attempt = broken_attempt.BrokenAttempt(
            record.endpoint_id, record.started_ms, prompt_parts, sent_at, now, record.address
        )
        ended = self._tracker.record_broken(attempt, now)
        if ended:
            self._record_ended(record, ended, now)
            return True
        if not self._tracker.should_check(record.endpoint_id, record.started_ms, now):
            return False
        if self._pool.is_listening(record):
            return False
        return self._record_refused(record, time.monotonic())

    def record_answer(self, prompt_parts, begun_at):
        """Record an answer that is complete, and when it began."""
        self._guard.record_harmless(prompt_parts, begun_at, time.monotonic())

    def record_started(self, record):
        """Record the registration of an incarnation, which shows that the one before it ended."""
        now = time.monotonic()
        attempts = self._tracker.record_started(record, now)
        if attempts:
            self._record_ended(attempts[0], attempts, now, evidence=RESTARTED)

    def _record_refused(self, record, now):
        if self._is_cut():
            return False
        attempts = self._tracker.record_refused(record.endpoint_id, record.started_ms, now)
        if attempts:
            self._record_ended(record, attempts, now)
        return bool(attempts)

    def _record_ended(self, record, attempts, now, evidence=NOT_LISTENING):
        sent_at_by_part = {}
        # The cause has just begun, so the requests that were sent last come first.
        for attempt in sorted(attempts, key=lambda item: -item.sent_at):
            for part in attempt.prompt_parts[: crash_evidence.MAX_STATED_PARTS]:
                sent_at_by_part.setdefault(part, attempt.sent_at)
        sent_at_by_part = dict(list(sent_at_by_part.items())[: crash_evidence.MAX_STATED_PARTS])
        ended_at = min(attempt.ended_at for attempt in attempts)
        parts, requests = request_digest.split(sent_at_by_part)
        eliot.log_message(
            message_type=ENDPOINT_ENDED,
            endpoint=record.endpoint_id,
            born_ms=record.started_ms,
            evidence=evidence,
            broken_attempts=len(attempts),
            prompt_parts=part_log.format_parts(parts),
            request_digests=part_log.format_requests(requests),
            age_s=round(now - ended_at, 3),
        )
        self._on_ended(record, now)
        end = statements.EndStatement(
            endpoint_key.hash_endpoint_id(record.endpoint_id),
            record.started_ms,
            ended_at,
            sent_at_by_part,
        )
        self._guard.record_end(end, now)
