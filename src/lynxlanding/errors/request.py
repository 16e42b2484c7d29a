"""Failures that are reported to callers."""

from lynxlanding.errors import base

EXECUTED_NO = "no"
EXECUTED_UNKNOWN = "unknown"
EXECUTED_YES = "yes"


class RequestError(base.LynxlandingError):
    """Root of the failures that become an HTTP response to a caller.

    Parameters
    ----------
    message : str
        Explanation for the caller; contains no token and no prompt.
    executed : {"no", "unknown", "yes"}, optional
        Whether the request took effect; ``no`` only where that is certain.
    retry_after_s : float, optional
        Seconds after which the caller should try again.
    """

    type_name = "request_error"
    status = 500
    default_executed = EXECUTED_NO

    def __init__(self, message, *, executed=None, retry_after_s=None):
        super().__init__(message)
        self.executed = self.default_executed if executed is None else executed
        self.retry_after_s = retry_after_s


class InvalidRequest(RequestError):
    """The request is malformed."""

    type_name = "invalid_request"
    status = 400


class Unauthorized(RequestError):
    """The bearer token is missing or unknown."""

    type_name = "unauthorized"
    status = 401


class NotFound(RequestError):
    """The path, model or service does not exist."""

    type_name = "not_found"
    status = 404


class MethodNotAllowed(RequestError):
    """The path does not support the method."""

    type_name = "method_not_allowed"
    status = 405


class BodyTooLarge(RequestError):
    """The request body exceeds the configured limit."""

    type_name = "body_too_large"
    status = 413


class KeyReused(RequestError):
    """The idempotency key was used before with a different request."""

    type_name = "idempotency_key_reused"
    status = 422


class OutcomeUnknown(RequestError):
    """The request with this key may have run; it is never run again."""

    type_name = "outcome_unknown"
    status = 409
    default_executed = EXECUTED_UNKNOWN


class ShareExceeded(RequestError):
    """The workspace exceeds its share and there is no free capacity."""

    type_name = "share_exceeded"
    status = 429


class Overloaded(RequestError):
    """The request cannot meet its deadline, or the queue is full."""

    type_name = "overloaded"
    status = 503


class NoEndpoint(RequestError):
    """No endpoint can serve the request at present."""

    type_name = "no_endpoint"
    status = 503


class ClaimsUnavailable(RequestError):
    """The store that records claims cannot be used; this submission was not sent.

    The key names the request, and an earlier submission of it may have run on another node.
    """

    type_name = "claims_unavailable"
    status = 503
    default_executed = EXECUTED_UNKNOWN


class NodeStopping(RequestError):
    """The node is shutting down and accepts no new requests."""

    type_name = "node_stopping"
    status = 503


class EndpointFailed(RequestError):
    """The endpoint failed after the request had been sent."""

    type_name = "endpoint_failed"
    status = 502
    default_executed = EXECUTED_UNKNOWN


class DeadlineExceeded(RequestError):
    """The deadline passed before the response was complete."""

    type_name = "deadline_exceeded"
    status = 504
    default_executed = EXECUTED_UNKNOWN


class ResponseNotKept(RequestError):
    """The request with this key ran, but its response was too large to be replayed."""

    type_name = "response_not_kept"
    status = 409
    default_executed = EXECUTED_YES


class SendWindowPassed(RequestError):
    """The node was held up after the claim for longer than it may wait with sending."""

    type_name = "send_window_passed"
    status = 503


class CallerLeft(RequestError):
    """The caller closed its connection before the response was complete."""

    type_name = "caller_left"
    status = 499
    default_executed = EXECUTED_UNKNOWN


class NoConfiguration(RequestError):
    """The node has not read a configuration yet."""

    type_name = "no_configuration"
    status = 503
