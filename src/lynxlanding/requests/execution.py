"""Decides about the attempts of one request.

Attempts of a request run one after the other. Each event names its attempt; what comes from an
attempt that was replaced is dropped, and so is a response that echoes another identity.
"""

from lynxlanding.errors import endpoint as endpoint_errors
from lynxlanding.errors import request as request_errors
from lynxlanding.requests import execution_decisions, stream_position
from lynxlanding.retry import classification, retry_policy, retry_question

REQUEST_ID = "x-request-id"
ATTEMPT_ID = "x-attempt-id"
RETRY_AFTER_S = 1.0


class Execution:
    """State of one request over its attempts.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    target : tuple of str
        Target kind and target.
    deadline : float
        Deadline on the monotonic clock, in seconds.
    idempotent : bool
        Whether the request may be repeated although it may have run.
    echo_required : bool
        Whether a response without identity headers is refused. Engines always send them; plain
        services need not, and then the connection alone identifies the response.
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
        """Number of dropped responses, and of deliveries from replaced attempts."""
        return self._dropped

    @property
    def duplicates(self):
        """Number of events that were dropped because they had been forwarded already."""
        return self._position.duplicates

    @property
    def executed(self):
        """The value of ``executed`` in a refusal that is sent now."""
        if self._may_have_run:
            return request_errors.EXECUTED_UNKNOWN
        return request_errors.EXECUTED_NO

    def begin(self, now):
        """Start the first attempt."""
        return self._send(now)

    def on_response(self, attempt_id, status, headers, retry_after_s=None):
        """Check the beginning of a response.

        Parameters
        ----------
        attempt_id : str
            Attempt on whose connection the response arrived.
        status : int
            HTTP status.
        headers : dict of str to str
            Headers by lower-case name.
        retry_after_s : float or None
            The endpoint's ``Retry-After``.

        Raises
        ------
        errors.endpoint.AttemptError
            If the attempt has failed; give the error to ``on_failure``.
        """
        if attempt_id != self._attempt_id:
            return self._drop()
        own_id = None if self._echo_required else self._request_id
        own_attempt_id = None if self._echo_required else attempt_id
        if (
            headers.get(REQUEST_ID, own_id) != self._request_id
            or headers.get(ATTEMPT_ID, own_attempt_id) != attempt_id
        ):
            self._dropped += 1
            raise endpoint_errors.ResponseMismatch("the response belongs to another attempt")
        # Checked after the identity: another request's refusal says nothing about this one.
        if status in (429, 503) and headers.get("x-executed") == "no":
            raise endpoint_errors.EndpointRefused(status, retry_after_s)
        if status >= 500 and self._echo_required:
            raise endpoint_errors.MalformedResponse(f"status {status}")
        return execution_decisions.ReadBody()

    def on_chunk(self, attempt_id, chunk):
        """Return whether ``chunk`` is exactly the next event and may be forwarded as it is."""
        return attempt_id == self._attempt_id and self._position.accept_chunk(chunk)

    def on_events(self, attempt_id, events):
        """Return the events to forward; raises ``errors.endpoint.AttemptError``."""
        if attempt_id != self._attempt_id:
            return self._drop()
        accepted, done = self._position.accept(events)
        if done:
            self._attempt_id = None
        return execution_decisions.Forward(accepted, done)

    def on_body(self, attempt_id):
        """Accept a complete body that is not a stream."""
        if attempt_id != self._attempt_id:
            return self._drop()
        self._attempt_id = None
        return execution_decisions.Complete()

    def on_failure(self, attempt_id, error, now):
        """Decide after an ``errors.endpoint.AttemptError``."""
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
        question = retry_question.RetryQuestion(
            self._target, self._attempts, self._deadline, resumes, resumes or never_connected
        )
        return execution_decisions.AskRetry(question)

    def on_retry_answer(self, answer, now):
        """Decide after the retry policy's answer."""
        if answer != retry_policy.GRANTED:
            return self.refuse(now)
        return self._send(now)

    def refuse(self, now):
        """Give up."""
        if self._attempt_id is not None:
            # The current attempt may be running at its endpoint.
            self._may_have_run = True
        self._attempt_id = None
        return execution_decisions.Refuse(self._final_error(now))

    def on_no_endpoint(self, now):
        """Give up because no endpoint is left for the current attempt."""
        self._attempt_id = None
        return self.refuse(now)

    def on_send_denied(self, now):
        """Give up because the claim does not permit the current attempt to be sent."""
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
            # After a pause of any length, the claim may have been deleted and the key run again.
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
