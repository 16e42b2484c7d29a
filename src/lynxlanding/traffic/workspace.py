"""Workspaces of the configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Workspace of the configuration.

    Parameters
    ----------
    name : str
        Name of the workspace.
    priority : int or None
        Priority of its requests, which overrides that of the route; None to use the route's.
    """

    name: str
    priority: int | None
