"""Reconciliation step that adjusts the number of groups and starts version changes."""

from lynxlanding.groups import group_record

# Groups with the least serving capacity are removed first.
_REMOVAL_ORDER = {
    group_record.INCOMPLETE: 0,
    group_record.FORMING: 1,
    group_record.DRAINING: 2,
    group_record.READY: 3,
}


def run(draft, desired, changing):
    """Apply the step to a ``DomainDraft``; other parameters as in ``Reconciler.plan``."""
    desired_by_spec = {}
    for entry in desired:
        desired_by_spec[entry.spec] = entry
    groups_by_spec = {}
    for name in sorted(draft.groups):
        group = draft.groups[name]
        if group.state == group_record.DRAINING and group.after_drain == group_record.REMOVE:
            continue
        groups_by_spec.setdefault(group.spec, []).append(group)
    for spec, groups in groups_by_spec.items():
        entry = desired_by_spec.get(spec)
        surplus = len(groups) - (entry.replicas if entry is not None else 0)
        if surplus > 0:
            _remove_surplus(draft, groups, entry, surplus)
    for entry in sorted(desired, key=lambda item: (-item.vms_per_replica, item.spec)):
        shortage = entry.replicas - len(groups_by_spec.get(entry.spec, ()))
        _form_groups(draft, entry, shortage)
        _start_version_changes(draft, entry, changing)


def _remove_surplus(draft, groups, entry, surplus):
    def removal_key(group):
        is_current = entry is not None and entry.is_current(group)
        return (_REMOVAL_ORDER[group.state], is_current, group.name)

    for group in sorted(groups, key=removal_key)[:surplus]:
        if group.state in (group_record.INCOMPLETE, group_record.FORMING):
            draft.remove_group(group.name, "surplus; removed")
            continue
        since = group.since if group.state == group_record.DRAINING else draft.wall_time
        draining = group.with_state(
            group_record.DRAINING, since, after_drain=group_record.REMOVE, next_version=""
        )
        draft.replace_group(draining, "surplus; draining")


def _form_groups(draft, entry, shortage):
    for _ in range(shortage):
        free = draft.free_vms(entry.places)
        if len(free) < entry.vms_per_replica:
            return
        draft.add_group(entry, free[: entry.vms_per_replica])


def _start_version_changes(draft, entry, changing):
    for name in sorted(draft.groups):
        group = draft.groups[name]
        if group.spec != entry.spec or entry.is_current(group):
            continue
        if group.state == group_record.FORMING:
            # No request runs on the group, so the new version can be loaded without a drain.
            changed = group.with_next_epoch(
                draft.wall_time, version=entry.version, adapters=entry.adapters
            )
            draft.replace_group(changed, f"changed to version {entry.version} while forming")
            continue
        if group.state == group_record.READY and name in changing:
            draining = group.with_state(
                group_record.DRAINING,
                draft.wall_time,
                after_drain=group_record.CHANGE_VERSION,
                next_version=entry.version,
                next_adapters=entry.adapters,
            )
            draft.replace_group(draining, f"draining to change to version {entry.version}")
