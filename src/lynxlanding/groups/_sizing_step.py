"""Forms missing groups, drains surplus groups and starts version changes."""

from lynxlanding.groups import group_record

# Groups that serve least are removed first.
_REMOVAL_ORDER = {
    group_record.INCOMPLETE: 0,
    group_record.FORMING: 1,
    group_record.DRAINING: 2,
    group_record.READY: 3,
}


def run(draft, desired, changing):
    """Apply the step to a draft."""
    by_spec = {}
    for entry in desired:
        by_spec[entry.spec] = entry
    held = {}
    for name in sorted(draft.groups):
        group = draft.groups[name]
        if group.state == group_record.DRAINING and group.after_drain == group_record.REMOVE:
            continue
        held.setdefault(group.spec, []).append(group)
    for spec, groups in held.items():
        entry = by_spec.get(spec)
        surplus = len(groups) - (entry.replicas if entry is not None else 0)
        if surplus > 0:
            _remove(draft, groups, entry, surplus)
    for entry in sorted(desired, key=lambda item: (-item.vms_per_replica, item.spec)):
        shortage = entry.replicas - len(held.get(entry.spec, ()))
        _form(draft, entry, shortage)
        _start_changes(draft, entry, changing)


def _remove(draft, groups, entry, surplus):
    def removal_key(group):
        is_current = entry is not None and entry.is_current(group)
        return (_REMOVAL_ORDER[group.state], is_current, group.name)

    for group in sorted(groups, key=removal_key)[:surplus]:
        if group.state in (group_record.INCOMPLETE, group_record.FORMING):
            draft.remove_group(group.name, "surplus; freed")
            continue
        since = group.since if group.state == group_record.DRAINING else draft.wall_time
        draining = group.with_state(
            group_record.DRAINING, since, after_drain=group_record.REMOVE, next_version=""
        )
        draft.replace_group(draining, "surplus; drains")


def _form(draft, entry, shortage):
    for _ in range(shortage):
        free = draft.free_vms(entry.places)
        if len(free) < entry.vms_per_replica:
            return
        draft.add_group(entry, free[: entry.vms_per_replica])


def _start_changes(draft, entry, changing):
    for name in sorted(draft.groups):
        group = draft.groups[name]
        if group.spec != entry.spec or entry.is_current(group):
            continue
        if group.state == group_record.FORMING:
            # No request uses the group, so nothing is lost by loading the new version at once.
            changed = group.reformed(
                draft.wall_time, version=entry.version, adapters=entry.adapters
            )
            draft.replace_group(changed, f"changes to version {entry.version} while forming")
            continue
        if group.state == group_record.READY and name in changing:
            draining = group.with_state(
                group_record.DRAINING,
                draft.wall_time,
                after_drain=group_record.CHANGE_VERSION,
                next_version=entry.version,
                next_adapters=entry.adapters,
            )
            draft.replace_group(draining, f"drains to change to version {entry.version}")
