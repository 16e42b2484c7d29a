"""Moves each group through its states and repairs groups that lost a VM."""

from lynxlanding.groups import group_record, repair_policy, repair_situation


def run(draft, policy, rules, drained):
    """Apply the step to a draft."""
    # Groups that can be completed with the fewest spares come first.
    order = []
    for name in draft.groups:
        order.append((len(_away(draft, name)), name))
    for _, name in sorted(order):
        group = draft.groups[name]
        missing = _missing(draft, name)
        if group.state == group_record.DRAINING:
            # The engines of a group with a lost VM have failed together; nothing is in flight.
            if name in drained or missing:
                _finish_drain(draft, group, policy, rules)
            continue
        away = _away(draft, name)
        # Requests may still run on a ready group whose VM leaves; it drains first.
        if missing or (away and group.state != group_record.READY):
            _repair(draft, group, away, policy, rules)
            continue
        if group.state == group_record.INCOMPLETE:
            _resume(draft, group)
        elif group.state == group_record.FORMING:
            _check_forming(draft, group, rules)
        elif group.state == group_record.READY:
            _check_ready(draft, group)


def _missing(draft, name):
    missing = []
    for vm in draft.groups[name].vms:
        seen = draft.observations.get(vm)
        if seen is None or seen.is_lost:
            missing.append(vm)
    return missing


def _leaving(draft, group):
    return [vm for vm in group.vms if draft.vms[vm].is_leaving]


def _away(draft, name):
    group = draft.groups[name]
    return sorted(set(_missing(draft, name)) | set(_leaving(draft, group)))


def _finish_drain(draft, group, policy, rules):
    if group.after_drain == group_record.REMOVE:
        draft.remove_group(group.name, "removed after its drain")
        return
    away = _away(draft, group.name)
    if group.after_drain == group_record.CHANGE_VERSION:
        group = group.reformed(
            draft.wall_time, version=group.next_version, adapters=group.next_adapters
        )
        draft.replace_group(group, f"changes to version {group.version}")
    if away:
        _repair(draft, group, away, policy, rules)
    elif group.state == group_record.DRAINING:
        draft.replace_group(group.reformed(draft.wall_time), "loaded again; no VM leaves any more")


def _repair(draft, group, away, policy, rules):
    spares = draft.free_vms((draft.vms[group.vms[0]].place,))
    waited_s = 0.0
    if group.state == group_record.INCOMPLETE:
        waited_s = max(0.0, draft.wall_time - group.since)
    held = [vm for vm in group.vms if vm not in away]
    situation = repair_situation.RepairSituation(
        missing_vms=len(away),
        spare_vms=len(spares),
        held_accelerators=sum(draft.vms[vm].accelerators for vm in held),
        group_accelerators=sum(draft.vms[vm].accelerators for vm in group.vms),
        waited_s=waited_s,
        completes_another=_completes_another(draft, group, len(held) + len(spares)),
    )
    decision = policy.decide(situation)
    if waited_s >= rules.stranded_bound_s and decision == repair_policy.KEEP:
        decision = repair_policy.FREE
    if decision == repair_policy.REPLACE and len(spares) >= len(away):
        replacements = iter(spares)
        vms = []
        for vm in group.vms:
            vms.append(next(replacements) if vm in away else vm)
        draft.replace_group(group.reformed(draft.wall_time, vms=vms), f"{', '.join(away)} replaced")
        return
    if decision == repair_policy.FREE:
        draft.remove_group(group.name, f"freed; {', '.join(away)} missing and no spare")
        return
    if group.state != group_record.INCOMPLETE:
        waiting = group.with_state(group_record.INCOMPLETE, draft.wall_time)
        draft.replace_group(waiting, f"waits for {', '.join(away)}")


def _completes_another(draft, group, available):
    """Return whether the VMs of ``group`` complete an incomplete group that comes before it."""
    for other in draft.groups.values():
        if other.name == group.name or other.state != group_record.INCOMPLETE:
            continue
        needed = len(_away(draft, other.name))
        own = len(_away(draft, group.name))
        if needed == 0 or (needed, other.name) >= (own, group.name):
            continue
        if needed <= available:
            return True
    return False


def _reports_match(draft, group):
    for vm in group.vms:
        seen = draft.observations[vm]
        if not seen.is_alive or seen.report is None or not seen.report.matches(group):
            return False
    return True


def _instances(draft, group):
    return {vm: draft.observations[vm].report.instance for vm in group.vms}


def _resume(draft, group):
    for vm in group.vms:
        if not draft.observations[vm].is_alive:
            return
    unchanged = _reports_match(draft, group) and _instances(draft, group) == group.instances
    if unchanged:
        resumed = group.with_state(group_record.READY, draft.wall_time)
        draft.replace_group(resumed, "complete again without a reload")
        return
    draft.replace_group(group.reformed(draft.wall_time), "complete again; loaded again")


def _check_forming(draft, group, rules):
    if _reports_match(draft, group):
        ready = group.with_state(
            group_record.READY, draft.wall_time, instances=_instances(draft, group)
        )
        draft.replace_group(ready, "ready")
        return
    if draft.wall_time - group.since > rules.load_timeout_s:
        draft.replace_group(group.reformed(draft.wall_time), "not ready in time; loaded again")


def _check_ready(draft, group):
    if _leaving(draft, group):
        draining = group.with_state(
            group_record.DRAINING, draft.wall_time, after_drain=group_record.REPLACE_VMS
        )
        draft.replace_group(draining, "drains; a VM leaves")
        return
    for vm in group.vms:
        seen = draft.observations[vm]
        if not seen.is_alive or seen.report is None:
            continue
        if seen.report.matches(group) and seen.report.instance == group.instances.get(vm):
            continue
        draft.replace_group(
            group.reformed(draft.wall_time), f"engine on {vm} does not match; loaded again"
        )
        return
