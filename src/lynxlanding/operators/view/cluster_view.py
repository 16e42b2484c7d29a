"""Tables of the cluster state at one point in time."""

import dataclasses

from lynxlanding.operators.view import rows


@dataclasses.dataclass(slots=True, frozen=True)
class ClusterView:
    """Tables that queries read, as collected by one node.

    Parameters
    ----------
    node : str
        Node that collected the view.
    revision : int
        Configuration revision of that node.
    uncertain : bool
        Whether the store has not confirmed the revision recently.
    """

    node: str
    revision: int
    uncertain: bool = False
    endpoints: tuple[rows.EndpointRow, ...] = ()
    groups: tuple[rows.GroupRow, ...] = ()
    workspaces: tuple[rows.WorkspaceRow, ...] = ()
    models: tuple[rows.ModelRow, ...] = ()
    nodes: tuple[rows.NodeRow, ...] = ()
    services: tuple[rows.ServiceRow, ...] = ()
    drains: tuple[rows.DrainRow, ...] = ()
    winddown: tuple[rows.WinddownRow, ...] = ()
