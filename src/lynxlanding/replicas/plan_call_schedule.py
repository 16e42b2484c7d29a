"""Decides when a planner calls the store again after a call has failed.

Addresses the pattern in which the store refuses a planner that has to read or write a plan, and the
planner calls it in each of its ten passes a second.
"""

# Pause after the first failure, and its growth with each further one.
FIRST_BACKOFF_S = 0.2
BACKOFF_FACTOR = 2.0
# Plans may change up to this long after the store is back. Loads of engines take longer.
MAX_BACKOFF_S = 0.8
# Part of a pause by which it is lengthened or shortened, so that planners do not call in step.
JITTER = 0.25


class PlanCallSchedule:
    """Pauses between calls of one planner that fail; performs no I/O.

    Parameters
    ----------
    random_state : random.Random
        Spreads the calls of several planners.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        self._failures = 0
        self._next_at = 0.0

    def may_call(self, now):
        """Return whether the planner may call the store, in monotonic seconds."""
        return now >= self._next_at

    def record_answer(self):
        """Record that the store has answered, if only that a plan does not exist."""
        self._failures = 0
        self._next_at = 0.0

    def record_failure(self, now):
        """Record that the store has refused or not answered a call."""
        growth = BACKOFF_FACTOR ** min(self._failures, 20)
        self._failures += 1
        pause_s = min(FIRST_BACKOFF_S * growth, MAX_BACKOFF_S)
        self._next_at = now + pause_s * self._random_state.uniform(1 - JITTER, 1 + JITTER)
