"""State of an engine as seen by the planner."""

import dataclasses

from lynxlanding.fleet import endpoint_record


@dataclasses.dataclass(slots=True, frozen=True)
class EngineView:
    """An engine of a fabric domain.

    Parameters
    ----------
    record : EndpointRecord or None
        Current registration; the last known one, if any, once the engine has no registration.
    is_present : bool
        Whether the engine is registered or has recently answered a probe.
    is_silent : bool
        Whether the engine has not answered the latest probes.
    """

    record: endpoint_record.EndpointRecord | None
    is_present: bool
    is_silent: bool

    @property
    def is_usable(self):
        """Whether the engine may become a member of a new group."""
        return self.is_present and not self.record.is_leaving and not self.is_silent
