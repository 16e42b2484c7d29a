"""One step of a wind-down plan."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WinddownRow:
    """What happens around one step; times are wall-clock seconds since 1970.

    Parameters
    ----------
    at : float
        Moment of the step.
    replicas_before, replicas : int
        Replicas before and from the step on.
    owed_before : int
        Replicas owed until the step.
    drains_ahead, drains_at_step : int
        Groups whose drains start ahead of the step, and at the step because they are owed until
        then.
    first_drain_at : float
        Start of the first drain.
    released_by : float
        Latest moment at which the last drained group is released.
    warning : str
        Why the step cannot hold; empty if it can.
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
