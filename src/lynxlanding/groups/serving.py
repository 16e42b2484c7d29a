"""Decides from evidence which groups serve."""

from lynxlanding.groups import group_record, serving_verdict


def check(group, evidence, now, leaving=frozenset()):
    """Decide whether a group may receive requests.

    A group serves only if each of its VMs was seen alive within the bound and each of its engines
    reports the group and epoch of the domain object, as the instance with which the group became
    ready. A late order from an earlier controller, or an engine that came back, therefore takes
    the group out of service even where the engine ignores the fencing number.

    Parameters
    ----------
    group : GroupRecord
        Group in the domain object that this node knows, which may be old.
    evidence : EvidenceTable
        Probe results.
    now : float
        Monotonic time, in seconds.
    leaving : collection of str, optional
        VMs that any source calls leaving. During a store outage the domain object cannot say that
        the group drains, so the signal takes the group out of service by itself.

    Returns
    -------
    ServingVerdict
        The decision and its reason.
    """
    if group.state != group_record.READY:
        return serving_verdict.ServingVerdict(False, group.state)
    departing = tuple(vm for vm in group.vms if vm in leaving)
    if departing:
        return serving_verdict.ServingVerdict(False, "vm_leaving", departing)
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
