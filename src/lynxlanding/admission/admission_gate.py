"""Where a request's thread waits for admission."""

import threading
import time

from lynxlanding.admission import admission_metrics, admission_request, decision
from lynxlanding.errors import request as request_errors

# Interval at which a waiting request's caller and deadline are looked at.
CHECK_INTERVAL_S = 0.2


class AdmissionGate:
    """Lets requests in and out; used by the gateway.

    Parameters
    ----------
    admission : AdmissionActor proxy
        Decides.
    read_slots : callable
        Returns the slots of the usable endpoints by pool.
    """

    def __init__(self, admission, read_slots):
        self._admission = admission
        self._read_slots = read_slots

    def enter(self, request):
        """Wait until a request is admitted.

        Parameters
        ----------
        request : CallerRequest
            The request; ``leave`` must be called for it once this method has returned.

        Raises
        ------
        errors.request.RequestError
            If it is refused, or its caller has left.
        """
        asked = admission_request.AdmissionRequest(
            request.request_id,
            request.workspace,
            pool_name(request.target_kind, request.target),
            request.priority,
            request.deadline,
        )
        waiter = _Waiter()
        answer = self._admission.offer(asked, waiter.set).get()
        if answer.reason == decision.NO_CAPACITY:
            # The slots are read a few times a second; endpoints may have appeared since then.
            self._admission.set_pool_slots(self._read_slots()).get()
            answer = self._admission.offer(asked, waiter.set).get()
        first_outcome = answer.outcome
        if first_outcome == decision.QUEUED:
            answer = self._wait(request, waiter)
        admission_metrics.DECISIONS.add(
            1,
            {
                "outcome": answer.outcome,
                "queued": first_outcome == decision.QUEUED,
                "within_share": answer.within_share,
                "reason": answer.reason or "",
            },
        )
        if answer.outcome == decision.REFUSED:
            raise _error_of(answer, request)

    def leave(self, request_id, tokens=None):
        """Release an admitted request; does not wait."""
        # Nobody reads the future.
        self._admission.end(request_id, tokens)

    def _wait(self, request, waiter):
        while not waiter.wait(CHECK_INTERVAL_S):
            has_left = request.has_caller_left()
            if not has_left and time.monotonic() < request.deadline:
                continue
            self._admission.end(request.request_id).get()
            raise request_errors.Overloaded(
                "the caller left" if has_left else "not admitted before the deadline",
                retry_after_s=1.0,
            )
        return waiter.answer


class _Waiter:
    def __init__(self):
        self.answer = None
        self._event = threading.Event()

    def set(self, answer):
        self.answer = answer
        self._event.set()

    def wait(self, timeout_s):
        return self._event.wait(timeout_s)


def pool_name(target_kind, target):
    """Return the name of the pool that serves a target."""
    return f"{target_kind}:{target}"


def _error_of(answer, request):
    if answer.reason == decision.NO_CAPACITY:
        return request_errors.NoEndpoint(
            f"no endpoint serves {request.target}", retry_after_s=answer.retry_after_s
        )
    if not answer.within_share:
        return request_errors.ShareExceeded(
            "the workspace exceeds its share and there is no free capacity",
            retry_after_s=answer.retry_after_s,
        )
    return request_errors.Overloaded(
        "the request cannot be served before its deadline"
        if answer.reason == decision.DEADLINE
        else "the queue is full",
        retry_after_s=answer.retry_after_s,
    )
