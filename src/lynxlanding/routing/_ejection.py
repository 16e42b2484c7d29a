"""Ejection of failing endpoints and probing after the ejection."""

import math

# Consecutive failures that eject an endpoint. One or two also occur at a healthy endpoint when
# requests time out.
FAILURE_THRESHOLD = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0

# Interval between checks of an endpoint whose ejection has ended but which has not yet responded to
# a poll.
RECHECK_INTERVAL_S = 1.0


class EjectionRule:
    """Decides when a failing endpoint receives no requests and when it is probed.

    This is a circuit breaker for each endpoint. An endpoint is ejected after consecutive failures;
    each further ejection lasts twice as long. When the ejection ends, the endpoint is probed: it
    receives one request at a time until one succeeds. A failed probe delays a caller, so a probe
    is sent only if the endpoint has responded to a poll since it was ejected.

    Parameters
    ----------
    failure_threshold : int, optional
        Consecutive failures that eject an endpoint.
    base_s, max_s : float, optional
        Durations of the first and of the longest ejection, in seconds.
    """

    def __init__(
        self, failure_threshold=FAILURE_THRESHOLD, base_s=BASE_EJECTION_S, max_s=MAX_EJECTION_S
    ):
        self._failure_threshold = failure_threshold
        self._base_s = base_s
        self._max_s = max_s

    def record_failure(self, state, now):
        """Record a failure of an endpoint and eject it if the threshold is reached."""
        was_probe = state.is_probing
        state.consecutive_failures += 1
        if state.ejected_until is not None and not was_probe:
            # Failures of requests that were sent before the ejection do not extend it.
            return
        if state.consecutive_failures < self._failure_threshold and not was_probe:
            return
        duration_s = min(self._max_s, self._base_s * 2.0 ** min(state.consecutive_ejections, 30))
        state.consecutive_ejections += 1
        state.ejected_at = now
        state.ejected_until = now + duration_s
        state.is_probing = False

    def record_success(self, state):
        """Record a success of an endpoint, which ends its ejection."""
        state.consecutive_failures = 0
        state.consecutive_ejections = 0
        state.ejected_until = None
        state.is_probing = False

    def allows_request(self, state, now):
        """Return whether the endpoint's failures allow a request now."""
        if state.ejected_until is None:
            return True
        if state.is_probing or now < state.ejected_until:
            return False
        return self._responded_since_ejection(state)

    def next_check_at(self, state, now):
        """Return when ``allows_request`` may change without an event; infinity if never."""
        if state.ejected_until is None or state.is_probing:
            return math.inf
        if now < state.ejected_until:
            return state.ejected_until
        return math.inf if self._responded_since_ejection(state) else now + RECHECK_INTERVAL_S

    def _responded_since_ejection(self, state):
        return state.last_reachable_at >= state.ejected_at
