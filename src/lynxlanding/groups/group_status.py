"""State of a group in the form that operators see."""


def describe(domain, group, verdict, evidence, now):
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

    Returns
    -------
    dict
        JSON form. Stranded accelerators are those of live VMs in a group that does not serve.
    """
    held = 0
    for vm in group.vms:
        if evidence.is_alive(vm, now):
            held += domain.vms[vm].accelerators
    return {
        "group": group.name,
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
    }
