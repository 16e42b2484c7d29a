"""Reconciliation step that advances the states of groups and repairs incomplete groups."""

from lynxlanding.groups import group_record, repair_policy, repair_situation


def run(draft, policy, rules, drained):
    """Apply the step to a ``DomainDraft``; other parameters as in ``Reconciler``."""
    # Groups that need the fewest spares are repaired first.
    by_shortage = []
    for name in draft.groups:
        by_shortage.append((len(_unavailable_vms(draft, name)), name))
    for _, name in sorted(by_shortage):
        group = draft.groups[name]
        missing = _missing_vms(draft, name)
        if group.state == group_record.DRAINING:
            # The engines of a group fail together with a lost VM, so no request is in flight.
            if name in drained or missing:
                _finish_drain(draft, group, policy, rules)
            continue
        unavailable = _unavailable_vms(draft, name)
        # A ready group with a leaving VM is drained first, since requests may still run on it.
        if missing or (unavailable and group.state != group_record.READY):
            _repair(draft, group, unavailable, policy, rules)
            continue
        if group.state == group_record.INCOMPLETE:
            _check_incomplete(draft, group)
        elif group.state == group_record.FORMING:
            _check_forming(draft, group, rules)
        elif group.state == group_record.READY:
            _check_ready(draft, group)


def _missing_vms(draft, name):
    missing = []
    for vm in draft.groups[name].vms:
        observation = draft.observations.get(vm)
        if observation is None or observation.is_lost:
            missing.append(vm)
    return missing


def _leaving_vms(draft, group):
    return [vm for vm in group.vms if draft.vms[vm].is_leaving]


def _unavailable_vms(draft, name):
    group = draft.groups[name]
    return sorted(set(_missing_vms(draft, name)) | set(_leaving_vms(draft, group)))


def _finish_drain(draft, group, policy, rules):
    if group.after_drain == group_record.REMOVE:
        draft.remove_group(group.name, "removed after draining")
        return
    unavailable = _unavailable_vms(draft, group.name)
    if group.after_drain == group_record.CHANGE_VERSION:
        group = group.with_next_epoch(
            draft.wall_time, version=group.next_version, adapters=group.next_adapters
        )
        draft.replace_group(group, f"reloading with version {group.version}")
    if unavailable:
        _repair(draft, group, unavailable, policy, rules)
    elif group.state == group_record.DRAINING:
        draft.replace_group(
            group.with_next_epoch(draft.wall_time), "reloading; no VM is leaving any more"
        )


def _repair(draft, group, unavailable, policy, rules):
    spares = draft.free_vms((draft.vms[group.vms[0]].place,))
    waited_s = 0.0
    if group.state == group_record.INCOMPLETE:
        waited_s = max(0.0, draft.wall_time - group.since)
    remaining_vms = [vm for vm in group.vms if vm not in unavailable]
    situation = repair_situation.RepairSituation(
        missing_vms=len(unavailable),
        spare_vms=len(spares),
        held_accelerators=sum(draft.vms[vm].accelerators for vm in remaining_vms),
        group_accelerators=sum(draft.vms[vm].accelerators for vm in group.vms),
        waited_s=waited_s,
        completes_another=_completes_another(draft, group, len(remaining_vms) + len(spares)),
    )
    decision = policy.decide(situation)
    if waited_s >= rules.stranded_bound_s and decision == repair_policy.KEEP:
        decision = repair_policy.FREE
    if decision == repair_policy.REPLACE and len(spares) >= len(unavailable):
        replacements = iter(spares)
        vms = []
        for vm in group.vms:
            vms.append(next(replacements) if vm in unavailable else vm)
        draft.replace_group(
            group.with_next_epoch(draft.wall_time, vms=vms), f"{', '.join(unavailable)} replaced"
        )
        return
    if decision == repair_policy.FREE:
        draft.remove_group(
            group.name, f"removed; {', '.join(unavailable)} unavailable and no spare"
        )
        return
    if group.state != group_record.INCOMPLETE:
        waiting = group.with_state(group_record.INCOMPLETE, draft.wall_time)
        draft.replace_group(waiting, f"incomplete; waiting for {', '.join(unavailable)}")


def _completes_another(draft, group, available):
    """Return whether freeing ``group`` completes an incomplete group that is repaired before it."""
    for other in draft.groups.values():
        if other.name == group.name or other.state != group_record.INCOMPLETE:
            continue
        needed = len(_unavailable_vms(draft, other.name))
        own_needed = len(_unavailable_vms(draft, group.name))
        if needed == 0 or (needed, other.name) >= (own_needed, group.name):
            continue
        if needed <= available:
            return True
    return False


def _reports_match(draft, group):
    for vm in group.vms:
        observation = draft.observations[vm]
        if (
            not observation.is_alive
            or observation.report is None
            or not observation.report.matches(group)
        ):
            return False
    return True


def _engine_instances(draft, group):
    return {vm: draft.observations[vm].report.instance for vm in group.vms}


def _check_incomplete(draft, group):
    for vm in group.vms:
        if not draft.observations[vm].is_alive:
            return
    is_unchanged = (
        _reports_match(draft, group) and _engine_instances(draft, group) == group.instances
    )
    if is_unchanged:
        resumed = group.with_state(group_record.READY, draft.wall_time)
        draft.replace_group(resumed, "complete again; no reload needed")
        return
    draft.replace_group(group.with_next_epoch(draft.wall_time), "complete again; reloading")


def _check_forming(draft, group, rules):
    if _reports_match(draft, group):
        ready = group.with_state(
            group_record.READY, draft.wall_time, instances=_engine_instances(draft, group)
        )
        draft.replace_group(ready, "ready")
        return
    if draft.wall_time - group.since > rules.load_timeout_s:
        draft.replace_group(group.with_next_epoch(draft.wall_time), "not ready in time; reloading")


def _check_ready(draft, group):
    if _leaving_vms(draft, group):
        draining = group.with_state(
            group_record.DRAINING, draft.wall_time, after_drain=group_record.REPLACE_VMS
        )
        draft.replace_group(draining, "draining; a VM is leaving")
        return
    for vm in group.vms:
        observation = draft.observations[vm]
        if not observation.is_alive or observation.report is None:
            continue
        if observation.report.matches(group) and observation.report.instance == group.instances.get(
            vm
        ):
            continue
        draft.replace_group(
            group.with_next_epoch(draft.wall_time), f"engine on {vm} does not match; reloading"
        )
        return
