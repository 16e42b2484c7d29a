"""State of a group in the form that operators see."""

from lynxlanding.groups import group_record


def describe(domain, group, verdict, evidence, now, wall_time):
    """Return one row about a group.

    Parameters
    ----------
    domain : Domain
        Its fabric domain.
    group : GroupRecord
        The group.
    verdict : ServingVerdict
        Whether it serves.
    evidence : EvidenceTable
        Probe results.
    now : float
        Monotonic time, in seconds.
    wall_time : float
        Wall-clock time, in seconds.

    Returns
    -------
    dict
        JSON form. Stranded accelerators are those of live VMs in a group that does not serve.
    """
    held = 0
    accelerators = 0
    for vm in group.vms:
        accelerators += domain.vms[vm].accelerators
        if evidence.is_alive(vm, now):
            held += domain.vms[vm].accelerators
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
        "stranded_accelerators": 0 if verdict.serves else held,
        "stranded_s": stranded_s,
    }
