"""Decides whether a failed attempt that is safe to repeat is retried."""

from lynxlanding.retry import attempt_times, retry_budget

# The budget limits the retries of the node; this limits those of a single request whose every
# attempt fails, for instance because its input crashes the engine.
MAX_ATTEMPTS = 4

GRANTED = "granted"
TOO_MANY_ATTEMPTS = "too_many_attempts"
TOO_LATE = "too_late"
BUDGET_EMPTY = "budget_empty"


class RetryPolicy:
    """Retry budget and expected durations of one node."""

    def __init__(self):
        self._budget = retry_budget.RetryBudget()
        self._times = attempt_times.AttemptTimes()

    def record_request(self):
        """Count the first attempt of a request."""
        self._budget.record_request()

    def record_success(self, target, duration_s):
        """Record the time until a response began, in seconds."""
        self._times.record(target, duration_s)

    def decide(self, query, now):
        """Return ``granted`` or the reason for the refusal.

        Parameters
        ----------
        query : RetryQuery
            The intended retry.
        now : float
            Monotonic time, in seconds.
        """
        if query.attempts >= MAX_ATTEMPTS:
            return TOO_MANY_ATTEMPTS
        # A retry that cannot finish in time would only take capacity from other requests.
        if query.deadline - now <= self._times.expected(query.target):
            return TOO_LATE
        if not self._budget.try_acquire(query.may_use_reserve):
            return BUDGET_EMPTY
        return GRANTED
