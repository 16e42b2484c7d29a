"""Recent failures and slowness of endpoints, as observed by this node."""

import dataclasses
import math

# Cooldown after a failure; it doubles with each consecutive failure.
INITIAL_COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0
# Cooldown of an endpoint whose process has ended: within about this time its registration lapses.
ENDED_COOLDOWN_S = 4.0
# Weight of a new observation in the moving average of observed over expected times.
SLOWNESS_WEIGHT = 0.3
# A single observation is clamped to this range.
SLOWNESS_BOUNDS = (0.25, 8.0)
# Time constant with which the slowness returns to 1. An endpoint that gets no requests yields no
# observations, so it would otherwise count as slow forever.
SLOWNESS_DECAY_S = 2.0


@dataclasses.dataclass(slots=True)
class _State:
    failures: int = 0
    cooldown_until: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0


class EndpointHealth:
    """Tracks consecutive failures and the recent slowness of each endpoint."""

    def __init__(self):
        self._states = {}

    def record_failure(self, endpoint_id, now):
        """Record a failed attempt that the endpoint is responsible for."""
        state = self._states.setdefault(endpoint_id, _State())
        cooldown_s = min(MAX_COOLDOWN_S, INITIAL_COOLDOWN_S * 2**state.failures)
        state.failures += 1
        state.cooldown_until = max(state.cooldown_until, now + cooldown_s)

    def record_ended(self, endpoint_id, now):
        """Record that the endpoint's process has ended, as this node or a peer has seen."""
        state = self._states.setdefault(endpoint_id, _State())
        state.cooldown_until = max(state.cooldown_until, now + ENDED_COOLDOWN_S)

    def record_success(self, endpoint_id):
        """Record a response of the endpoint, which ends its cooldown."""
        state = self._states.setdefault(endpoint_id, _State())
        state.failures = 0
        state.cooldown_until = 0.0

    def record_first_event(self, endpoint_id, observed_s, expected_s, now):
        """Update the slowness from the observed time to a first event.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that sent the event.
        observed_s : float
            Observed time, in seconds.
        expected_s : float
            Time on an engine of normal speed, in seconds.
        now : float
            Monotonic time in seconds.
        """
        previous = self.slowness(endpoint_id, now)
        low, high = SLOWNESS_BOUNDS
        ratio = min(high, max(low, observed_s / expected_s))
        state = self._states.setdefault(endpoint_id, _State())
        state.slowness = previous + SLOWNESS_WEIGHT * (ratio - previous)
        state.slowness_at = now

    def is_cooling_down(self, endpoint_id, now):
        """Return whether the endpoint should be avoided because of recent failures."""
        state = self._states.get(endpoint_id)
        return state is not None and now < state.cooldown_until

    def slowness(self, endpoint_id, now):
        """Return the ratio of observed to expected times; 1 for an unknown endpoint."""
        state = self._states.get(endpoint_id)
        if state is None:
            return 1.0
        decay = math.exp(-(now - state.slowness_at) / SLOWNESS_DECAY_S)
        return 1.0 + (state.slowness - 1.0) * decay

    def clear(self):
        """Discard the state of all endpoints."""
        self._states.clear()

    def forget(self, endpoint_id):
        """Discard the state of an endpoint that restarted or was removed."""
        self._states.pop(endpoint_id, None)
