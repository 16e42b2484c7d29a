"""What a node tells its peers about a cold engine."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ColdStatement:
    """Statement that an incarnation of an engine is cold.

    Parameters
    ----------
    endpoint_id : str
        The engine.
    started_ms : int
        Start of the incarnation, in Unix milliseconds of its own clock.
    until, stated_at : float
        End of the time for which it is cold, and time of the information, in monotonic seconds of
        the node that holds the object.
    """

    endpoint_id: str
    started_ms: int
    until: float
    stated_at: float
