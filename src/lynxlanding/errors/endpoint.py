"""Errors of a single attempt to send a request to an endpoint."""

import http.client

from lynxlanding.errors import base


class AttemptError(base.LynxlandingError):
    """Base class of the errors of an attempt.

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


class NotListening(ConnectionRefused):
    """The address refuses connections, so no process listens there."""

    type_name = "not_listening"


class ConnectionEndedAtOnce(ConnectionRefused):
    """The connection was reset before it could be used."""

    type_name = "connection_ended_at_once"


class EndpointWithdrawn(AttemptError):
    """The endpoint left or restarted while the connection was established; nothing was sent."""

    type_name = "endpoint_withdrawn"
    certainly_not_run = True


class EndpointRefused(AttemptError):
    """The endpoint refused the request and confirmed with ``X-Executed: no`` that it did not run.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    retry_after_s : float or None
        Value of the ``Retry-After`` header, in seconds.
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
    """The response carries the id of another request or attempt."""

    type_name = "response_mismatch"


class ResponseTruncated(AttemptError):
    """The response ended before it was complete."""

    type_name = "response_truncated"


class TruncatedHead(ResponseTruncated, http.client.HTTPException):
    """The response ended inside its status line or headers.

    Libraries handle it like any other failure of the connection.
    """

    type_name = "truncated_head"


class EventGap(AttemptError):
    """The event ids of a stream have a gap."""

    type_name = "event_gap"


class MalformedResponse(AttemptError):
    """The response does not follow the protocol."""

    type_name = "malformed_response"


class MalformedMessage(MalformedResponse, http.client.HTTPException):
    """The head or the chunks of the response are not valid HTTP.

    Libraries handle it like any other failure of the connection.
    """

    type_name = "malformed_message"


class ResponseTooLarge(MalformedResponse, OSError):
    """More bytes arrived than a response may have.

    Libraries handle it like any other failure of the connection.
    """

    type_name = "response_too_large"


class UnconfirmedRefusal(AttemptError):
    """The status implies that the request has not run, but the endpoint did not confirm it."""

    type_name = "false_promise"
