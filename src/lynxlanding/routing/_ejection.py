"""Ejection of failing endpoints, with probing."""

import math

# Three failures in a row: one or two also happen to a healthy endpoint when requests time out.
EJECTION_FAILURES = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0

# Interval at which an ejected endpoint that has not responded to any poll is looked at again.
RECHECK_S = 1.0


class EjectionRule:
    """Decides when a failing endpoint receives no requests and when it is probed.

    An endpoint is ejected after consecutive failures. Each further ejection lasts twice as long.
    Afterwards it is probed: it gets one request at a time until one succeeds. A probe costs a
    caller time, so it is sent only if the endpoint responded to a poll since it was ejected.

    Parameters
    ----------
    failures : int, optional
        Consecutive failures that eject an endpoint.
    first_s, max_s : float, optional
        Duration of the first ejection, and the longest one, in seconds.
    """

    def __init__(self, failures=EJECTION_FAILURES, first_s=FIRST_EJECTION_S, max_s=MAX_EJECTION_S):
        self._failures = failures
        self._first_s = first_s
        self._max_s = max_s

    def count_failure(self, state, now):
        """Count a failure of an endpoint and eject it if it was one too many."""
        was_probe = state.is_probing
        state.failures += 1
        if state.ejected_until is not None and not was_probe:
            # Requests that were sent before the ejection do not prolong it.
            return
        if state.failures < self._failures and not was_probe:
            return
        duration = min(self._max_s, self._first_s * 2.0 ** min(state.ejections, 30))
        state.ejections += 1
        state.ejected_at = now
        state.ejected_until = now + duration
        state.is_probing = False

    def count_success(self, state):
        """End the ejection of an endpoint."""
        state.failures = 0
        state.ejections = 0
        state.ejected_until = None
        state.is_probing = False

    def admits(self, state, now):
        """Return whether an endpoint may receive a request now."""
        if state.ejected_until is None:
            return True
        if state.is_probing or now < state.ejected_until:
            return False
        return self._was_reachable(state)

    def next_check(self, state, now):
        """Return when ``admits`` may change without another event; infinity if never."""
        if state.ejected_until is None or state.is_probing:
            return math.inf
        if now < state.ejected_until:
            return state.ejected_until
        return math.inf if self._was_reachable(state) else now + RECHECK_S

    def _was_reachable(self, state):
        return state.reachable_at >= state.ejected_at
