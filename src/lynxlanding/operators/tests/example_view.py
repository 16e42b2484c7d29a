"""View of a small cluster against which the queries in the documentation are run."""

import datetime

from lynxlanding.operators.view import cluster_view, rows

DATE = datetime.datetime(2027, 6, 30, tzinfo=datetime.UTC)


def _make_endpoint_row(address, place, state, leaving_because, running):
    return rows.EndpointRow(
        address,
        "desk-engines",
        "desk-model",
        "v1",
        place,
        "fabric-1",
        "desk-group-1",
        state,
        leaving_because,
        8,
        running,
        0,
        running,
        8,
    )


def _make_group_row(name, state, vms_missing, stranded_accelerators):
    return rows.GroupRow(
        name,
        "desk-model",
        "v1",
        "changamwe",
        "fabric-1",
        3,
        state,
        4,
        vms_missing,
        32,
        stranded_accelerators,
        41.5 if stranded_accelerators else 0.0,
    )


VIEW = cluster_view.ClusterView(
    "n1",
    12,
    endpoints=(
        _make_endpoint_row("10.0.0.1:8000", "changamwe", rows.SERVING, "", 5),
        _make_endpoint_row("10.0.0.2:8000", "shimanzi", rows.SERVING, "", 2),
        _make_endpoint_row("10.0.0.3:8000", "shimanzi", rows.LEAVING, "drain", 1),
    ),
    groups=(
        _make_group_row("desk-group-1", rows.SERVING, 0, 0),
        _make_group_row("desk-group-2", rows.INCOMPLETE, 1, 24),
    ),
    workspaces=(
        rows.WorkspaceRow("desk", 0.0, 500.0, None, 1),
        rows.WorkspaceRow("yard", 0.0, 500.0, DATE, 1),
    ),
    models=(rows.ModelRow("desk-model", "v1", 4, 2, 2),),
    nodes=(
        rows.NodeRow("n1", "changamwe", "mombasa", "live", 12, False, 0.0),
        rows.NodeRow("n2", "shimanzi", "mombasa", "live", 11, True, 0.4),
    ),
    services=(rows.ServiceRow("desk-engines", "model", "desk-model", 3, 2),),
    drains=(rows.DrainRow("10.0.0.3-8000", "10.0.0.3:8000", "rack work", 1),),
    winddown=(rows.WinddownRow("desk-model", DATE, 2, 0, 2, 0, 2, DATE, DATE, DATE, False, ""),),
)
