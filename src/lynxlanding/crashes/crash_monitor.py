"""Finds out which attempts broke because their endpoint has ended."""

import time

import eliot

from lynxlanding.crashes import broken_attempt, end_tracker
from lynxlanding.errors import endpoint as endpoint_errors

ENDPOINT_ENDED = "lynxlanding:endpoint:ended"

# Failures after which the endpoint may have ended.
_BREAKS = (endpoint_errors.ConnectionBroken, endpoint_errors.ResponseTruncated)


class CrashMonitor:
    """Records failed attempts and checks whether their endpoints have ended.

    Request threads call it directly.

    Parameters
    ----------
    pool : ConnectionPool
        Tells whether an endpoint listens.
    """

    def __init__(self, pool):
        self._pool = pool
        self._tracker = end_tracker.EndTracker()

    def record_failure(self, record, prompt_parts, error, sent_at):
        """Record a failed attempt; return whether its endpoint is known to have ended.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint of the attempt.
        prompt_parts : tuple of int
            Keys of the shared parts of the prompt.
        error : AttemptError
            Failure.
        sent_at : float
            When the request was sent, in monotonic seconds.
        """
        now = time.monotonic()
        if isinstance(error, endpoint_errors.NotListening):
            self._record_refused(record, now)
            return True
        # A leaving endpoint that ends does so on purpose.
        if not isinstance(error, _BREAKS) or record.is_leaving:
            return False
        attempt = broken_attempt.BrokenAttempt(
            record.endpoint_id, record.started_ms, prompt_parts, sent_at, now
        )
        if self._tracker.record_broken(attempt, now):
            _log_ended(record, [attempt])
            return True
        if not self._tracker.should_check(record.endpoint_id, record.started_ms, now):
            return False
        if self._pool.is_listening(record):
            return False
        return self._record_refused(record, time.monotonic())

    def _record_refused(self, record, now):
        attempts = self._tracker.record_refused(record.endpoint_id, record.started_ms, now)
        if attempts:
            _log_ended(record, attempts)
        return bool(attempts)


def _log_ended(record, attempts):
    parts = set()
    for attempt in attempts:
        parts.update(attempt.prompt_parts)
    eliot.log_message(
        message_type=ENDPOINT_ENDED,
        endpoint=record.endpoint_id,
        born_ms=record.started_ms,
        broken_attempts=len(attempts),
        prompt_parts=[f"{part:x}" for part in sorted(parts)],
    )
