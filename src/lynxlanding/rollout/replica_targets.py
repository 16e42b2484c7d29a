"""Numbers of replicas per specification during wind-downs and rolling changes."""

from lynxlanding.rollout import owed_capacity, winddown_plan

# Longest deadline of a request plus the time until every node knows of a drain.
DRAIN_LEAD_S = 605.0


def winddown_plans(snapshot, tokens_per_s_per_replica):
    """Return the wind-down plans of an accepted configuration by model.

    Parameters
    ----------
    snapshot : configuration.snapshot.Snapshot
        Accepted configuration.
    tokens_per_s_per_replica : float or None
        Measured throughput of one replica; None means that every scheduled replica is owed.

    Returns
    -------
    dict of str to WinddownPlan
        One plan for each model that has a wind-down.
    """
    workspaces = list(snapshot.of_kind("workspaces").values())
    plans_by_model = {}
    for _, spec in sorted(snapshot.of_kind("winddowns").items()):
        replicas = 0
        for group in snapshot.of_kind("groups").values():
            if group.model == spec.model:
                replicas += group.replicas

        def owed_at(wall_time, replicas=replicas):
            return owed_capacity.owed_replicas(
                workspaces, tokens_per_s_per_replica, replicas, wall_time
            )

        if tokens_per_s_per_replica is None:
            owed_at = None
        plans_by_model[spec.model] = winddown_plan.WinddownPlan(
            spec, replicas, owed_at, DRAIN_LEAD_S
        )
    return plans_by_model


def replicas_by_spec(snapshot, winddowns, wall_time):
    """Return the target replicas of the specifications whose model winds down.

    Reductions start with the specification whose name sorts last.

    Parameters
    ----------
    snapshot : configuration.snapshot.Snapshot
        Accepted configuration.
    winddowns : dict of str to WinddownPlan
        Wind-down plans by model.
    wall_time : float
        Wall-clock time, in seconds.
    """
    remaining = {}
    for model, plan in winddowns.items():
        remaining[model] = plan.target_replicas(wall_time)
    targets = {}
    for name, spec in sorted(snapshot.of_kind("groups").items()):
        if spec.model not in remaining:
            continue
        targets[name] = min(spec.replicas, remaining[spec.model])
        remaining[spec.model] -= targets[name]
    return targets


def owed_groups(snapshot, desired, tokens_per_s_per_replica, wall_time):
    """Return the number of groups of one specification that must serve while others change.

    Parameters
    ----------
    snapshot : configuration.snapshot.Snapshot
        Accepted configuration.
    desired : DesiredGroups
        Desired groups of the specification.
    tokens_per_s_per_replica : float or None
        Measured throughput of one replica; None means that every desired replica is owed.
    wall_time : float
        Wall-clock time, in seconds.
    """
    workspaces = snapshot.of_kind("workspaces").values()
    return owed_capacity.owed_replicas(
        workspaces, tokens_per_s_per_replica, desired.replicas, wall_time
    )
