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
    is_present : bool
        Whether the registration is in force, or the engine has answered a probe a moment ago.
    is_silent : bool
        Whether the engine has not answered its last probes.
    """

    record: endpoint_record.EndpointRecord | None
    is_present: bool
    is_silent: bool

    @property
    def is_usable(self):
        """Whether new groups may contain the engine."""
        return self.is_present and not self.record.is_leaving and not self.is_silent
