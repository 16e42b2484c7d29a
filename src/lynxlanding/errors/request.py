"""Errors that are reported to callers."""

from lynxlanding.errors import base

EXECUTED_NO = "no"
EXECUTED_UNKNOWN = "unknown"
EXECUTED_YES = "yes"


class RequestError(base.LynxlandingError):
    """Base class of the errors that are sent to a caller as an HTTP response.

    Parameters
    ----------
    message : str
        Explanation for the caller; must not contain tokens or prompts.
    executed : {"no", "unknown", "yes"}, optional
        Whether the request took effect; ``no`` only if it certainly did not.
        Defaults to ``default_executed`` of the class.
    retry_after_s : float, optional
        Seconds after which the caller should retry.
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


class HeadersTooLarge(InvalidRequest):
    """The headers exceed the limit."""

    status = 431


class RequestTimedOut(InvalidRequest):
    """The request did not arrive in time."""

    status = 408


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


class IdempotencyKeyReused(RequestError):
    """The idempotency key has already been used for a different request."""

    type_name = "idempotency_key_reused"
    status = 422


class OutcomeUnknown(RequestError):
    """A request with this key may have run, so it is not run again."""

    type_name = "outcome_unknown"
    status = 409
    default_executed = EXECUTED_UNKNOWN


class ShareExceeded(RequestError):
    """The workspace exceeds its capacity share and there is no free capacity."""

    type_name = "share_exceeded"
    status = 429


class Overloaded(RequestError):
    """The admission queue is full, or the request cannot meet its deadline."""

    type_name = "overloaded"
    status = 503


class NoEndpoint(RequestError):
    """No endpoint can serve the request at present."""

    type_name = "no_endpoint"
    status = 503


class ClaimsUnavailable(RequestError):
    """The claim store is unavailable, so this submission was not sent to an endpoint.

    An earlier submission with the same idempotency key may have run on another node.
    """

    type_name = "claims_unavailable"
    status = 503
    default_executed = EXECUTED_UNKNOWN


class PromptQuarantined(RequestError):
    """The prompt contains parts under which engines have crashed."""

    type_name = "prompt_quarantined"
    status = 503


class RequestQuarantined(RequestError):
    """Engines have crashed under this request each time that it came."""

    type_name = "request_quarantined"
    status = 503


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
    """After claiming the request, the node was delayed beyond the time allowed for sending it."""

    type_name = "send_window_passed"
    status = 503


class CallerDisconnected(RequestError):
    """The caller closed its connection before the response was complete."""

    type_name = "caller_left"
    status = 499
    default_executed = EXECUTED_UNKNOWN


class NoConfiguration(RequestError):
    """The node has not received a configuration yet."""

    type_name = "no_configuration"
    status = 503
