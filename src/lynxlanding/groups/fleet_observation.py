"""Observations of the VMs of all fabric domains."""

from lynxlanding.groups import vm_view


def observe(domains, vms, evidence, leaving_addresses, now):
    """Return the observations by fabric domain and VM name.

    Parameters
    ----------
    domains : list of Domain
        All fabric domains.
    vms : iterable of platform.vm.Vm
        The VM list.
    evidence : EvidenceTable
        Probe results.
    leaving_addresses : collection of str
        Addresses that any source calls leaving.
    now : float
        Monotonic time, in seconds.
    """
    held_by = {}
    for domain in domains:
        for vm in domain.group_by_vm():
            held_by.setdefault(vm, set()).add(domain.name)
    vms_by_domain = {}
    for vm in vms:
        vms_by_domain.setdefault(vm.fabric_domain, []).append(vm)
    observations = {}
    for domain in domains:
        listed = vms_by_domain.get(domain.name, ())
        held_elsewhere = set()
        for vm in listed:
            if held_by.get(vm.name, set()) - {domain.name}:
                held_elsewhere.add(vm.name)
        observations[domain.name] = vm_view.build(
            domain, listed, evidence, leaving_addresses, now, held_elsewhere
        )
    return observations
