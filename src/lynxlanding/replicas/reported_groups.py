"""Replica groups as their engines report them."""

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import group_plan


def collect(engines):
    """Return the ids of the present members by (group name, epoch) and rank."""
    reported = {}
    for endpoint_id, view in sorted(engines.items()):
        if view.record is None or not view.is_present or view.record.membership is None:
            continue
        membership = view.record.membership
        members_by_rank = reported.setdefault((membership.name, membership.epoch), {})
        members_by_rank.setdefault(membership.rank, []).append(endpoint_id)
    return reported


def find_standing(name, epoch, members_by_rank, engines, engine_spec):
    """Return the ``GroupPlan`` of a reported group, or None if it lacks a member."""
    model = group_plan.model_from_name(name)
    members = complete_members(model, members_by_rank, engine_spec)
    if members is None:
        return None
    return group_plan.GroupPlan(name, epoch, model, members, planned_phase(members, engines))


def complete_members(model, members_by_rank, engine_spec):
    """Return the members in the order of their ranks, or None unless each rank has exactly one."""
    spec = engine_spec.models.get(model)
    if spec is None or sorted(members_by_rank) != list(range(spec.engines_per_group)):
        return None
    members = []
    for rank in range(spec.engines_per_group):
        if len(members_by_rank[rank]) != 1:
            return None
        members.append(members_by_rank[rank][0])
    return tuple(members)


def planned_phase(members, engines):
    """Return the phase of a complete group from the states that its members report."""
    states = {engines[member].record.membership.state for member in members}
    if states & {group_membership.CLOSING, group_membership.BROKEN}:
        return group_plan.RETIRING
    if group_membership.JOINING in states:
        return group_plan.FORMING
    return group_plan.SERVING
