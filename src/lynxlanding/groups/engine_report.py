"""Report of an engine in response to ``GET /load``."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Part of a load report that concerns groups.

    Parameters
    ----------
    instance : str
        Identity of the engine process.
    group : str
        Group that it belongs to; empty if none.
    epoch : int
        Epoch of the group.
    model, version : str
        Model and version that are loaded.
    adapters : tuple of str
        Adapters that are loaded.
    is_draining : bool
        Whether the engine reports that it is draining.
    running, queued : int
        Number of running and of queued requests.
    """

    instance: str
    group: str = ""
    epoch: int = 0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    is_draining: bool = False
    running: int = 0
    queued: int = 0

    def equals_except_load(self, other):
        """Return whether another report is equal except for the load; False for None."""
        return other is not None and (
            self.instance == other.instance
            and self.group == other.group
            and self.epoch == other.epoch
            and self.model == other.model
            and self.version == other.version
            and self.adapters == other.adapters
            and self.is_draining == other.is_draining
        )

    def matches(self, group):
        """Return whether the engine has loaded what the domain object specifies for the group."""
        return (
            self.group == group.name
            and self.epoch == group.epoch
            and self.version == group.version
            and set(group.adapters) <= set(self.adapters)
        )


def from_value(value):
    """Return the report in the body of a ``GET /load`` response.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the response does not follow the protocol.
    """
    return EngineReport(
        instance=str(value["instance"]),
        group=value.get("group") or "",
        epoch=int(value.get("epoch") or 0),
        model=value.get("model") or "",
        version=value.get("version") or "",
        adapters=tuple(value.get("adapters") or ()),
        is_draining=bool(value.get("draining")),
        running=int(value.get("running") or 0),
        queued=int(value.get("queued") or 0),
    )
