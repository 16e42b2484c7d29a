"""One step of a wind-down plan."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WinddownRow:
    """Drains and owed capacity around one step; times are in seconds since the epoch.

    Parameters
    ----------
    at : float
        Time of the step.
    replicas_before, replicas : int
        Number of replicas before and from the step on.
    owed_before : int
        Number of replicas owed until the step.
    drains_ahead, drains_at_step : int
        Number of groups that start to drain ahead of the step, and at the step because they are
        owed until then.
    first_drain_at : float
        Start of the first drain.
    released_by : float
        Latest time at which the last drained group is released.
    warning : str
        Conflict of the step with what is owed; empty if there is none.
    """

    at: float
    replicas_before: int
    replicas: int
    owed_before: int
    drains_ahead: int
    drains_at_step: int
    first_drain_at: float
    released_by: float
    warning: str = ""
