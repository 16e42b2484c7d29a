"""Failures of one attempt at an endpoint."""

from lynxlanding.errors import base


class AttemptError(base.LynxlandingError):
    """Root of the failures of one attempt.

    Attributes
    ----------
    certainly_not_run : bool
        Whether the endpoint certainly did no work for the attempt.
    """

    type_name = "attempt_failed"
    certainly_not_run = False


class ConnectionRefused(AttemptError):
    """No connection was established, so no byte was sent."""

    type_name = "connection_refused"
    certainly_not_run = True


class EndpointRefused(AttemptError):
    """The endpoint refused before any work and said so with ``X-Executed: no``.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    retry_after_s : float or None
        The endpoint's ``Retry-After``, in seconds.
    """

    type_name = "endpoint_refused"
    certainly_not_run = True

    def __init__(self, status, retry_after_s=None):
        super().__init__(f"endpoint refused with status {status}")
        self.status = status
        self.retry_after_s = retry_after_s


class ConnectionBroken(AttemptError):
    """The connection failed after the request had been sent."""

    type_name = "connection_broken"


class AttemptTimedOut(AttemptError):
    """The endpoint did not respond in time."""

    type_name = "attempt_timed_out"


class ResponseMismatch(AttemptError):
    """The response carries the identity of another request or attempt."""

    type_name = "response_mismatch"


class ResponseTruncated(AttemptError):
    """The response ended before it was complete."""

    type_name = "response_truncated"


class EventGap(AttemptError):
    """A stream skipped an event."""

    type_name = "event_gap"


class MalformedResponse(AttemptError):
    """The response does not follow the protocol."""

    type_name = "malformed_response"


class FalsePromise(AttemptError):
    """The status says that the request has not run, but the endpoint does not state it."""

    type_name = "false_promise"
