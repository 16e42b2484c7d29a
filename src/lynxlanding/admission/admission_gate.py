"""Blocks the threads of requests until they are admitted."""

import threading
import time

from lynxlanding.admission import admission_metrics, admission_request, decision
from lynxlanding.errors import request as request_errors

# Interval at which a queued request's deadline and its caller's connection are checked.
CHECK_INTERVAL_S = 0.2


class AdmissionGate:
    """Admits and releases requests for the gateway.

    Parameters
    ----------
    admission : AdmissionActor proxy
        Decides about requests.
    read_slots : callable
        Returns the slots of the usable endpoints by pool.
    """

    def __init__(self, admission, read_slots):
        self._admission = admission
        self._read_slots = read_slots

    def admit(self, request):
        """Block until a request is admitted.

        Parameters
        ----------
        request : CallerRequest
            The request; ``release`` must be called for it after this method has returned.

        Raises
        ------
        errors.request.RequestError
            If the request is refused, or its caller has disconnected.
        """
        candidate = admission_request.AdmissionRequest(
            request.request_id,
            request.workspace,
            pool_name(request.target_kind, request.target),
            request.priority,
            request.deadline,
        )
        pending = _PendingDecision()
        result = self._admission.offer(candidate, pending.set).get()
        if result.reason == decision.NO_CAPACITY:
            # The slots are read only a few times per second; endpoints may have been added since.
            self._admission.set_pool_slots(self._read_slots()).get()
            result = self._admission.offer(candidate, pending.set).get()
        first_outcome = result.outcome
        if first_outcome == decision.QUEUED:
            result = self._wait(request, pending)
        admission_metrics.DECISIONS.add(
            1,
            {
                "outcome": result.outcome,
                "queued": first_outcome == decision.QUEUED,
                "within_share": result.within_share,
                "reason": result.reason or "",
            },
        )
        if result.outcome == decision.REFUSED:
            raise _make_error(result, request)

    def release(self, request_id, tokens=None):
        """Release an admitted request without blocking."""
        # The future is discarded, because waiting for it would block.
        self._admission.release(request_id, tokens)

    def _wait(self, request, pending):
        while not pending.wait(CHECK_INTERVAL_S):
            has_caller_left = request.has_caller_left()
            if not has_caller_left and time.monotonic() < request.deadline:
                continue
            self._admission.release(request.request_id).get()
            raise request_errors.Overloaded(
                "the caller left" if has_caller_left else "not admitted before the deadline",
                retry_after_s=1.0,
            )
        return pending.result


class _PendingDecision:
    def __init__(self):
        self.result = None
        self._event = threading.Event()

    def set(self, result):
        self.result = result
        self._event.set()

    def wait(self, timeout_s):
        return self._event.wait(timeout_s)


def pool_name(target_kind, target):
    """Return the name of the pool that serves a target."""
    return f"{target_kind}:{target}"


def _make_error(result, request):
    if result.reason == decision.NO_CAPACITY:
        return request_errors.NoEndpoint(
            f"no endpoint serves {request.target}", retry_after_s=result.retry_after_s
        )
    if not result.within_share:
        return request_errors.ShareExceeded(
            "the workspace exceeds its share and there is no free capacity",
            retry_after_s=result.retry_after_s,
        )
    return request_errors.Overloaded(
        "the request cannot be served before its deadline"
        if result.reason == decision.DEADLINE
        else "the queue is full",
        retry_after_s=result.retry_after_s,
    )
