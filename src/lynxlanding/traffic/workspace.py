"""Workspaces of the configuration."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A workspace; its ``priority``, if any, replaces that of the route."""

    name: str
    priority: int | None
