"""Says what a failed attempt means for a retry and for the final refusal."""

import dataclasses

from lynxlanding.errors import endpoint as endpoint_errors


@dataclasses.dataclass(slots=True, frozen=True)
class FailureClass:
    """What is known about a failed attempt.

    Parameters
    ----------
    may_have_run : bool
        Whether the endpoint may have done work. False only where that is certain.
    retryable : bool
        Whether another endpoint may succeed.
    endpoint_fault : bool
        Whether the failure speaks against the endpoint. A refusal before any work does not: a
        full or draining endpoint is healthy.
    """

    may_have_run: bool
    retryable: bool
    endpoint_fault: bool


_NOT_CONNECTED = FailureClass(may_have_run=False, retryable=True, endpoint_fault=True)
_REFUSED = FailureClass(may_have_run=False, retryable=True, endpoint_fault=False)
_BROKEN = FailureClass(may_have_run=True, retryable=True, endpoint_fault=True)

_CLASSES = {
    endpoint_errors.ConnectionRefused: _NOT_CONNECTED,
    endpoint_errors.EndpointRefused: _REFUSED,
    endpoint_errors.ConnectionBroken: _BROKEN,
    endpoint_errors.AttemptTimedOut: _BROKEN,
    endpoint_errors.ResponseMismatch: _BROKEN,
    endpoint_errors.ResponseTruncated: _BROKEN,
    endpoint_errors.EventGap: _BROKEN,
    endpoint_errors.MalformedResponse: _BROKEN,
    endpoint_errors.FalsePromise: _BROKEN,
}
# A failure that nobody has classified may have run and is not repeated.
_UNCLASSIFIED = FailureClass(may_have_run=True, retryable=False, endpoint_fault=True)


def classify(error):
    """Return the class of an ``errors.endpoint.AttemptError``."""
    return _CLASSES.get(type(error), _UNCLASSIFIED)
