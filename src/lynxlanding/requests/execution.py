"""Decides when a request is sent, retried, resumed or refused.

The attempts of a request run one after another. Each call names its attempt. Deliveries from a
replaced attempt are dropped, and so are responses that carry the ids of another attempt.
"""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import execution_decisions, stream_position
from lynxlanding.retry import classification, retry_policy, retry_query

REQUEST_ID_HEADER = "x-request-id"
ATTEMPT_ID_HEADER = "x-attempt-id"
RETRY_AFTER_S = 1.0


class Execution:
    """State machine for one request and its attempts; it does no I/O.

    Parameters
    ----------
    request_id : str
        Id of the request.
    target : tuple of str
        Target kind and target.
    deadline : float
        Deadline on the monotonic clock, in seconds.
    idempotent : bool
        Whether the request may be sent again although it may have been executed.
    echo_required : bool
        Whether a response without request and attempt id is rejected. Engines always send the ids.
        Plain services need not, so that only the connection identifies their responses.
    """

    def __init__(self, request_id, target, deadline, *, idempotent, echo_required):
        self._request_id = request_id
        self._target = target
        self._deadline = deadline
        self._idempotent = idempotent
        self._echo_required = echo_required
        self._position = stream_position.StreamPosition()
        self._attempts = 0
        self._attempt_id = None
        self._may_have_run = False
        self._last_error = None
        self._dropped = 0

    @property
    def attempts(self):
        """Number of attempts so far."""
        return self._attempts

    @property
    def dropped(self):
        """Number of dropped responses and of dropped deliveries from replaced attempts."""
        return self._dropped

    @property
    def duplicates(self):
        """Number of events that were dropped because they had already been forwarded."""
        return self._position.duplicates

    @property
    def executed(self):
        """Value of ``executed`` for a refusal at this time."""
        if self._may_have_run:
            return request_errors.EXECUTED_UNKNOWN
        return request_errors.EXECUTED_NO

    def begin(self, now):
        """Start the first attempt."""
        return self._send(now)

    def on_response(self, attempt_id, status, headers, retry_after_s=None):
        """Check the status and headers of a response.

        Parameters
        ----------
        attempt_id : str
            Attempt on whose connection the response arrived.
        status : int
            HTTP status.
        headers : dict of str to str
            Headers by lower-case name.
        retry_after_s : float or None
            ``Retry-After`` of the endpoint, in seconds.

        Raises
        ------
        errors.endpoint.AttemptError
            If the attempt has failed; pass the error to ``on_failure``.
        """
        if attempt_id != self._attempt_id:
            return self._drop()
        default_request_id = None if self._echo_required else self._request_id
        default_attempt_id = None if self._echo_required else attempt_id
        if (
            headers.get(REQUEST_ID_HEADER, default_request_id) != self._request_id
            or headers.get(ATTEMPT_ID_HEADER, default_attempt_id) != attempt_id
        ):
            self._dropped += 1
            raise endpoint_errors.ResponseMismatch("the response belongs to another attempt")
        # Checked after the ids, because a refusal of another request says nothing about this one.
        if status in (429, 503) and headers.get("x-executed") == "no":
            raise endpoint_errors.EndpointRefused(status, retry_after_s)
        if status >= 500 and self._echo_required:
            raise endpoint_errors.MalformedResponse(f"status {status}")
        return execution_decisions.ReadBody()

    def on_chunk(self, attempt_id, chunk):
        """Return whether ``chunk`` is exactly the next event and can be forwarded unchanged."""
        return attempt_id == self._attempt_id and self._position.accept_chunk(chunk)

    def on_events(self, attempt_id, events):
        """Return the events to forward.

        Raises
        ------
        errors.endpoint.AttemptError
            If an event is missing or malformed; pass the error to ``on_failure``.
        """
        if attempt_id != self._attempt_id:
            return self._drop()
        accepted, done = self._position.accept(events)
        if done:
            self._attempt_id = None
        return execution_decisions.Forward(accepted, done)

    def on_body(self, attempt_id):
        """Accept a complete body of a response that is not a stream."""
        if attempt_id != self._attempt_id:
            return self._drop()
        self._attempt_id = None
        return execution_decisions.Complete()

    def on_failure(self, attempt_id, error, now):
        """Return the decision after an ``errors.endpoint.AttemptError``."""
        if attempt_id != self._attempt_id:
            return self._drop()
        self._attempt_id = None
        self._last_error = error
        failure = classification.classify(error)
        if failure.may_have_run:
            self._may_have_run = True
        if now >= self._deadline:
            return self.refuse(now)
        if not failure.retryable or (self._may_have_run and not self._idempotent):
            return self.refuse(now)
        resumes = self._position.last_event_id is not None
        never_connected = failure.endpoint_fault and not failure.may_have_run
        query = retry_query.RetryQuery(
            self._target, self._attempts, self._deadline, resumes, resumes or never_connected
        )
        return execution_decisions.AskRetry(query)

    def on_retry_decision(self, retry_decision, now):
        """Return the decision after the retry policy has granted or denied a retry."""
        if retry_decision != retry_policy.GRANTED:
            return self.refuse(now)
        return self._send(now)

    def refuse(self, now):
        """Give up and return the refusal."""
        if self._attempt_id is not None:
            # The endpoint may be executing the current attempt.
            self._may_have_run = True
        self._attempt_id = None
        return execution_decisions.Refuse(self._final_error(now))

    def on_no_endpoint(self, now):
        """Give up because no endpoint is available for the current attempt."""
        self._attempt_id = None
        return self.refuse(now)

    def on_send_denied(self, now):
        """Give up because the claim does not permit sending the current attempt."""
        self._attempt_id = None
        if now >= self._deadline:
            return self.refuse(now)
        return execution_decisions.Refuse(
            request_errors.SendWindowPassed(
                "the node was held up for too long after claiming the request",
                executed=self.executed,
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def _send(self, now):
        if now >= self._deadline:
            return self.refuse(now)
        self._attempt_id = f"{self._request_id}-{self._attempts}"
        self._attempts += 1
        return execution_decisions.SendAttempt(self._attempt_id, self._position.last_event_id)

    def _drop(self):
        self._dropped += 1
        return execution_decisions.Drop()

    def _final_error(self, now):
        if now >= self._deadline:
            # During a long pause, the claim may have been deleted and the key executed again.
            executed = self.executed if self._idempotent else request_errors.EXECUTED_UNKNOWN
            return request_errors.DeadlineExceeded(
                "the deadline passed before the response was complete", executed=executed
            )
        error = self._last_error
        if error is not None and self._may_have_run:
            return request_errors.EndpointFailed(
                f"the endpoint failed: {error.type_name}", executed=self.executed
            )
        if isinstance(error, endpoint_errors.EndpointRefused):
            wait_s = RETRY_AFTER_S if error.retry_after_s is None else error.retry_after_s
            return request_errors.Overloaded(
                f"the endpoints of {self._target[1]} refused", retry_after_s=wait_s
            )
        return request_errors.NoEndpoint(
            f"no endpoint of {self._target[1]} can be reached", retry_after_s=RETRY_AFTER_S
        )
