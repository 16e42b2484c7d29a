"""Number of replicas that the throughput owed to the workspaces requires."""

import datetime
import math


def owed_replicas(workspaces, tokens_per_s_per_replica, replicas, wall_time):
    """Return the number of replicas that must serve at a given time.

    A workspace is owed its ``owed_tokens_per_s`` until its ``until``, or indefinitely without it.

    Parameters
    ----------
    workspaces : iterable of WorkspaceSpec
        Accepted workspaces.
    tokens_per_s_per_replica : float or None
        Measured throughput of one replica. If it is None, every desired replica is owed.
    replicas : int
        Number of desired replicas, the upper limit of the result.
    wall_time : float
        Wall-clock time, in seconds.
    """
    if tokens_per_s_per_replica is None:
        return replicas
    owed_tokens_per_s = 0.0
    utc_time = datetime.datetime.fromtimestamp(wall_time, datetime.UTC)
    for workspace in workspaces:
        until = workspace.until
        if until is not None and until.tzinfo is None:
            until = until.replace(tzinfo=datetime.UTC)
        if until is None or utc_time < until:
            owed_tokens_per_s += workspace.owed_tokens_per_s
    return min(replicas, math.ceil(owed_tokens_per_s / tokens_per_s_per_replica))
