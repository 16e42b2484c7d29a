"""Classifies failed attempts for the decision on a retry and for the final error."""

import dataclasses

from lynxlanding.errors import endpoint as endpoint_errors


@dataclasses.dataclass(slots=True, frozen=True)
class FailureClass:
    """Consequences of a failed attempt.

    Parameters
    ----------
    may_have_run : bool
        Whether the endpoint may have started work. False only if it certainly did not.
    retryable : bool
        Whether an attempt at another endpoint may succeed.
    endpoint_fault : bool
        Whether the failure indicates an unhealthy endpoint. A refusal before any work does not,
        since full or draining endpoints are healthy.
    """

    may_have_run: bool
    retryable: bool
    endpoint_fault: bool


_NOT_CONNECTED = FailureClass(may_have_run=False, retryable=True, endpoint_fault=True)
_REFUSED = FailureClass(may_have_run=False, retryable=True, endpoint_fault=False)
_FAILED_AFTER_SEND = FailureClass(may_have_run=True, retryable=True, endpoint_fault=True)

_CLASS_BY_ERROR = {
    endpoint_errors.ConnectionRefused: _NOT_CONNECTED,
    endpoint_errors.EndpointRefused: _REFUSED,
    endpoint_errors.EndpointWithdrawn: _REFUSED,
    endpoint_errors.ConnectionBroken: _FAILED_AFTER_SEND,
    endpoint_errors.AttemptTimedOut: _FAILED_AFTER_SEND,
    endpoint_errors.ResponseMismatch: _FAILED_AFTER_SEND,
    endpoint_errors.ResponseTruncated: _FAILED_AFTER_SEND,
    endpoint_errors.EventGap: _FAILED_AFTER_SEND,
    endpoint_errors.MalformedResponse: _FAILED_AFTER_SEND,
    endpoint_errors.UnconfirmedRefusal: _FAILED_AFTER_SEND,
}
# An unknown type of failure may have run, so the attempt is not repeated.
_UNCLASSIFIED = FailureClass(may_have_run=True, retryable=False, endpoint_fault=True)


def classify(error):
    """Return the class of an ``errors.endpoint.AttemptError``."""
    return _CLASS_BY_ERROR.get(type(error), _UNCLASSIFIED)
