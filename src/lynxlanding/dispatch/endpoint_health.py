"""Recent failures and slowness of endpoints, as seen by the node."""

import dataclasses
import math

# After a failure the endpoint is avoided for this long; repeated failures double the time.
FIRST_AVOIDANCE_S = 0.5
LONGEST_AVOIDANCE_S = 4.0
# Weight of a new observation in the average of observed over predicted times.
CALIBRATION_WEIGHT = 0.3
# Single observations beyond these ratios count as these.
CALIBRATION_BOUNDS = (0.25, 8.0)
# Without new observations an endpoint is taken for as fast as others again, within a few times
# this long; what is not used shows nothing.
SLOWNESS_MEMORY_S = 2.0


@dataclasses.dataclass(slots=True)
class _State:
    failures: int = 0
    avoided_until: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0


class EndpointHealth:
    """Keeps a short memory of each endpoint."""

    def __init__(self):
        self._states = {}

    def note_failure(self, endpoint_id, now):
        """Record that an attempt failed through the endpoint's fault."""
        state = self._states.setdefault(endpoint_id, _State())
        pause_s = min(LONGEST_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**state.failures)
        state.failures += 1
        state.avoided_until = max(state.avoided_until, now + pause_s)

    def note_success(self, endpoint_id):
        """Record that the endpoint has answered."""
        state = self._states.setdefault(endpoint_id, _State())
        state.failures = 0
        state.avoided_until = 0.0

    def note_first_event(self, endpoint_id, observed_s, expected_s, now):
        """Record the time to a first event and what an engine of normal speed would take."""
        known = self.slowness(endpoint_id, now)
        low, high = CALIBRATION_BOUNDS
        ratio = min(high, max(low, observed_s / expected_s))
        state = self._states.setdefault(endpoint_id, _State())
        state.slowness = known + CALIBRATION_WEIGHT * (ratio - known)
        state.slowness_at = now

    def is_avoided(self, endpoint_id, now):
        """Return whether the endpoint should get no request at present."""
        state = self._states.get(endpoint_id)
        return state is not None and now < state.avoided_until

    def slowness(self, endpoint_id, now):
        """Return observed over expected times; 1 for an unknown endpoint."""
        state = self._states.get(endpoint_id)
        if state is None:
            return 1.0
        memory = math.exp(-(now - state.slowness_at) / SLOWNESS_MEMORY_S)
        return 1.0 + (state.slowness - 1.0) * memory

    def forget(self, endpoint_id):
        """Forget an endpoint that restarted or is gone."""
        self._states.pop(endpoint_id, None)
