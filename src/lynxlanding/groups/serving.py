"""Decides whether groups serve, based on evidence."""

from lynxlanding.groups import group_record, serving_verdict


def check(group, evidence, now, leaving=frozenset()):
    """Decide whether a group may receive requests.

    A group serves only if each of its VMs was seen alive within the bound, and if each of its
    engines reports the group and epoch of the domain object and is still the instance with which
    the group became ready. A delayed order from an earlier controller, or a restarted engine,
    therefore takes the group out of service even if the engine ignores the fencing number.

    Parameters
    ----------
    group : GroupRecord
        Group in the domain object known to this node, which may be outdated.
    evidence : EvidenceTable
        Probe results.
    now : float
        Monotonic time, in seconds.
    leaving : collection of str, optional
        VMs that any source reports as leaving. They take the group out of service directly, because
        the domain object cannot be changed to draining during a store outage.

    Returns
    -------
    ServingVerdict
        The decision and its reason.
    """
    if group.state != group_record.READY:
        return serving_verdict.ServingVerdict(False, group.state)
    leaving_vms = tuple(vm for vm in group.vms if vm in leaving)
    if leaving_vms:
        return serving_verdict.ServingVerdict(False, "vm_leaving", leaving_vms)
    missing = []
    for vm in group.vms:
        if not evidence.is_alive(vm, now):
            missing.append(vm)
    if missing:
        return serving_verdict.ServingVerdict(False, "vm_missing", tuple(missing))
    mismatched = []
    draining = []
    for vm in group.vms:
        report = evidence.report(vm)
        if not report.matches(group) or report.instance != group.instances.get(vm):
            mismatched.append(vm)
        elif report.is_draining:
            draining.append(vm)
    if mismatched:
        return serving_verdict.ServingVerdict(False, "epoch_mismatch", tuple(mismatched))
    if draining:
        return serving_verdict.ServingVerdict(False, "engine_draining", tuple(draining))
    return serving_verdict.ServingVerdict(True)
