"""What the planner knows about an engine."""

import dataclasses

from lynxlanding.fleet import endpoint_record


@dataclasses.dataclass(slots=True, frozen=True)
class EngineView:
    """An engine of a fabric domain.

    Parameters
    ----------
    record : EndpointRecord or None
        The engine's registration; the last one known, if any, when it is gone.
    is_registered : bool
        Whether the registration is in force.
    gone_s : float
        Seconds since the planner found the registration to be missing; 0 while it is in force.
    is_silent : bool
        Whether the engine has not answered its last probes.
    """

    record: endpoint_record.EndpointRecord | None
    is_registered: bool
    gone_s: float
    is_silent: bool

    @property
    def is_free_to_use(self):
        """Whether new groups may contain the engine."""
        return self.is_registered and not self.record.is_leaving and not self.is_silent
