"""Rules on whether a failed attempt may be retried."""

import dataclasses

from lynxlanding.traffic import route as traffic_route

# An attempt with less time left only adds load.
MIN_TIME_LEFT_S = 0.05
# Upper bound on all attempts. Attempts that reached no endpoint's work queue do not count towards
# the route's ``max_attempts``.
MAX_ATTEMPTS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptHistory:
    """Attempts of a request so far.

    Parameters
    ----------
    attempts : int
        Attempts made, including those that established no connection.
    may_have_run : int
        Attempts that an endpoint may have run.
    last_was_not_run : bool
        Whether the last attempt certainly did not run.
    time_left_s : float
        Time until the deadline.
    """

    attempts: int
    may_have_run: int
    last_was_not_run: bool
    time_left_s: float


def may_retry(route: traffic_route.Route, history: AttemptHistory) -> bool:
    """Return whether the route permits another attempt; the retry budget is checked separately."""
    if history.time_left_s < MIN_TIME_LEFT_S or history.attempts >= MAX_ATTEMPTS:
        return False
    if history.may_have_run == 0:
        return history.last_was_not_run
    return route.is_idempotent and history.may_have_run < route.max_attempts
