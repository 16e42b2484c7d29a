"""Decides whether an attempt that may be repeated is repeated."""

from lynxlanding.retry import attempt_times, retry_budget

# The budget bounds retries of the node; this bounds those of one request whose every attempt
# fails, for instance because its input crashes the engine.
MAX_ATTEMPTS = 4

GRANTED = "granted"
TOO_MANY_ATTEMPTS = "too_many_attempts"
TOO_LATE = "too_late"
BUDGET_EMPTY = "budget_empty"


class RetryPolicy:
    """Retry budget and expected times of one node."""

    def __init__(self):
        self._budget = retry_budget.RetryBudget()
        self._times = attempt_times.AttemptTimes()

    def count_request(self):
        """Count the first attempt of a request."""
        self._budget.earn()

    def record_success(self, target, duration_s):
        """Record the time until a response began, in seconds."""
        self._times.record(target, duration_s)

    def decide(self, question, now):
        """Return ``granted`` or the reason of the refusal.

        Parameters
        ----------
        question : RetryQuestion
            The retry.
        now : float
            Monotonic time, in seconds.
        """
        if question.attempts >= MAX_ATTEMPTS:
            return TOO_MANY_ATTEMPTS
        # A retry that cannot finish in time would only take capacity from other requests.
        if question.deadline - now <= self._times.expected(question.target):
            return TOO_LATE
        if not self._budget.take(question.may_use_reserve):
            return BUDGET_EMPTY
        return GRANTED
