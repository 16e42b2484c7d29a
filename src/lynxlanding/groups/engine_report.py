"""What an engine says about itself in ``GET /load``."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """The part of a load report that concerns groups.

    Parameters
    ----------
    instance : str
        Identity of the engine process.
    group : str
        Group that it belongs to; empty if none.
    epoch : int
        Epoch of the group.
    model, version : str
        What is loaded.
    adapters : tuple of str
        Adapters that are loaded.
    is_draining : bool
        Whether the engine says that it is leaving.
    running, queued : int
        Requests in the engine.
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

    def says_the_same(self, other):
        """Return whether another report, or None, differs in nothing but the load."""
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
        """Return whether the engine has loaded what the domain object says."""
        return (
            self.group == group.name
            and self.epoch == group.epoch
            and self.version == group.version
            and set(group.adapters) <= set(self.adapters)
        )


def from_value(value):
    """Return the report of a ``GET /load`` response.

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
