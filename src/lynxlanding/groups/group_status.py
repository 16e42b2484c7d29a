"""Status rows of groups for operators."""

from lynxlanding.groups import group_record


def describe(domain, group, verdict, evidence, now, wall_time):
    """Return the status row of a group.

    Parameters
    ----------
    domain : Domain
        Fabric domain of the group.
    group : GroupRecord
        The group.
    verdict : ServingVerdict
        Whether the group serves.
    evidence : EvidenceTable
        Probe results.
    now : float
        Monotonic time, in seconds.
    wall_time : float
        Wall-clock time, in seconds.

    Returns
    -------
    dict
        JSON representation. Accelerators are stranded if they belong to live VMs of a group that
        does not serve.
    """
    live_accelerators = 0
    accelerators = 0
    for vm in group.vms:
        accelerators += domain.vms[vm].accelerators
        if evidence.is_alive(vm, now):
            live_accelerators += domain.vms[vm].accelerators
    leader = domain.vms[group.leader]
    report = evidence.report(group.leader)
    stranded_s = 0.0
    if group.state == group_record.INCOMPLETE:
        stranded_s = max(0.0, wall_time - group.since)
    return {
        "group": group.name,
        "address": leader.address,
        "place": leader.place,
        "running": 0 if report is None else report.running,
        "queued": 0 if report is None else report.queued,
        "accelerators": accelerators,
        "fabric_domain": domain.name,
        "model": group.model,
        "version": group.version,
        "epoch": group.epoch,
        "state": group.state,
        "serves": verdict.serves,
        "reason": verdict.reason,
        "vms": list(group.vms),
        "missing": list(verdict.vms),
        "stranded_accelerators": 0 if verdict.serves else live_accelerators,
        "stranded_s": stranded_s,
    }
