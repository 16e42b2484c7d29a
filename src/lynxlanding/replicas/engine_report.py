"""State that an engine reports on request."""

import dataclasses

from lynxlanding.fleet import group_membership


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Answer of an engine to a probe.

    Parameters
    ----------
    born_ms : int
        Start of the incarnation.
    membership : GroupMembership or None
        The engine's group.
    staged_models : tuple of str
        Models on the host.
    running, waiting : int
        Requests at the engine some hundred milliseconds ago.
    pace : float
        Slowdown of the engine; 1 is normal.
    """

    born_ms: int
    membership: group_membership.GroupMembership | None
    staged_models: tuple[str, ...]
    running: int
    waiting: int
    pace: float
