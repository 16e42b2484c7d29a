"""Whether a failed attempt may be followed by another one."""

import dataclasses

from lynxlanding.traffic import route as traffic_route

# An attempt with less time than this only adds load.
MIN_TIME_LEFT_S = 0.05
# Sends that reached no endpoint's work queue do not use up the attempts of the route; this bounds
# them.
MAX_SENDS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptHistory:
    """What has happened to a request so far.

    Parameters
    ----------
    sends : int
        Attempts made, including those that found no connection.
    may_have_run : int
        Attempts that may have run.
    last_was_not_run : bool
        Whether the last attempt certainly did not run.
    time_left_s : float
        Time until the deadline.
    """

    sends: int
    may_have_run: int
    last_was_not_run: bool
    time_left_s: float


def may_repeat(route: traffic_route.Route, history: AttemptHistory) -> bool:
    """Return whether the rules of the route admit another attempt; the allowance is separate."""
    if history.time_left_s < MIN_TIME_LEFT_S or history.sends >= MAX_SENDS:
        return False
    if history.may_have_run == 0:
        return history.last_was_not_run
    return route.is_idempotent and history.may_have_run < route.max_attempts
