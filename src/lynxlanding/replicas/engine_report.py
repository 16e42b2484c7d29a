"""State that an engine reports when it is probed."""

import dataclasses

from lynxlanding.fleet import group_membership


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Response of an engine to a probe.

    Parameters
    ----------
    started_ms : int
        Start of the engine's incarnation, in Unix milliseconds by its own clock.
    membership : GroupMembership or None
        Group that the engine belongs to, if any.
    staged_models : tuple of str
        Models whose weights are on the host.
    running, waiting : int
        Number of running and waiting requests; a few hundred milliseconds old.
    slowdown : float
        Slowdown factor of the engine; 1 is normal speed.
    accepted_orders : int or None
        Number of orders that the incarnation has accepted; None if the report does not say.
    """

    started_ms: int
    membership: group_membership.GroupMembership | None
    staged_models: tuple[str, ...]
    running: int
    waiting: int
    slowdown: float
    accepted_orders: int | None = None
