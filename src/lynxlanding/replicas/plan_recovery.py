"""Restores the plan of a fabric domain after the store has come back from an older copy."""

import dataclasses

from lynxlanding.replicas import group_plan, reported_groups


@dataclasses.dataclass(slots=True, frozen=True)
class RecoveredPlan:
    """Result of a recovery.

    Parameters
    ----------
    plan : DomainPlan
        Plan for the present era, to be stored before any order is sent.
    kept, taken_over, retired : tuple of str
        Names of the groups that the stored plan already had, that only the engines reported, and
        that are dissolved.
    """

    plan: group_plan.DomainPlan
    kept: tuple[str, ...]
    taken_over: tuple[str, ...]
    retired: tuple[str, ...]


def recover(plan, engine_spec, engines, era, used_epoch=0):
    """Return the ``RecoveredPlan`` that fits the groups reported by the engines.

    The stored plan can be older than what was carried out. A group that stands with all its ranks
    is taken over as the engines report it. A group whose members contradict the stored plan is
    retired, which frees its engines in the usual order. Epochs of the present era are higher than
    all earlier ones, so no epoch is given out twice, whatever the copy has lost.

    Parameters
    ----------
    plan : DomainPlan
        Stored plan, of any era.
    engine_spec : EngineSpec
        Models with their group sizes.
    engines : dict of str to EngineView
        Engines of the domain by id, including members of planned groups that are gone.
    era : int
        Present era of the store.
    used_epoch : int, optional
        Highest epoch of the domain that this node knows to be in use.
    """
    reported = reported_groups.collect(engines)
    highest_epoch = max([used_epoch, *(epoch for _, epoch in reported)])
    groups = []
    kept = []
    taken_over = []
    retired = []
    for group in plan.groups:
        members_by_rank = reported.pop((group.name, group.epoch), {})
        recovered = _recover_planned(group, members_by_rank, engines, engine_spec)
        groups.append(recovered)
        outcome = retired if recovered.phase == group_plan.RETIRING else kept
        outcome.append(group.name)
    for (name, epoch), members_by_rank in sorted(reported.items()):
        recovered = _take_over(name, epoch, members_by_rank, engines, engine_spec)
        groups.append(recovered)
        outcome = retired if recovered.phase == group_plan.RETIRING else taken_over
        outcome.append(name)
    next_epoch = max(plan.next_epoch, highest_epoch + 1, group_plan.first_epoch(era))
    return RecoveredPlan(
        group_plan.DomainPlan(next_epoch, tuple(groups), era),
        tuple(kept),
        tuple(taken_over),
        tuple(retired),
    )


def _recover_planned(group, members_by_rank, engines, engine_spec):
    """Return a group of the stored plan in the phase in which it can go on."""
    if group.phase == group_plan.RETIRING:
        return group
    if reported_groups.complete_members(group.model, members_by_rank, engine_spec) == group.members:
        return group.with_phase(reported_groups.planned_phase(group.members, engines))
    if group.phase == group_plan.SERVING and _is_consistent(group, members_by_rank, engines):
        return group
    return group.with_phase(group_plan.RETIRING)


def _is_consistent(group, members_by_rank, engines):
    """Return whether the head serves and no registered member contradicts the group."""
    if group.head not in members_by_rank.get(0, ()):
        return False
    for rank, member in enumerate(group.members):
        view = engines.get(member)
        is_registered = view is not None and view.record is not None and view.is_present
        if is_registered and member not in members_by_rank.get(rank, ()):
            return False
    return True


def _take_over(name, epoch, members_by_rank, engines, engine_spec):
    """Return the planned form of a group that only the engines report."""
    standing = reported_groups.find_standing(name, epoch, members_by_rank, engines, engine_spec)
    if standing is not None:
        return standing
    model = group_plan.model_from_name(name)
    members = []
    for rank in sorted(members_by_rank):
        members.extend(members_by_rank[rank])
    return group_plan.GroupPlan(name, epoch, model or "", tuple(members), group_plan.RETIRING)
