"""Combines the VM list, the domain object, leaving signals and serving evidence."""

from lynxlanding.groups import vm_observation
from lynxlanding.store import vm as platform_vm


def build(domain, vms, evidence, leaving_addresses, now, held_elsewhere=frozenset()):
    """Return the observations of one fabric domain by VM name.

    Parameters
    ----------
    domain : Domain
        Domain object.
    vms : iterable of platform.vm.Vm
        The VM list of this domain or of all domains.
    evidence : EvidenceTable
        Probe results.
    leaving_addresses : collection of str
        Addresses that any source reports as leaving.
    now : float
        Monotonic time, in seconds.
    held_elsewhere : collection of str, optional
        VMs in groups of other fabric domains. The VM list may move a VM to another fabric domain
        before the previous one has released it; until then the VM is left out.

    Returns
    -------
    dict of str to VmObservation
        VMs listed in the domain, and VMs that only the domain object contains.
    """
    observations = {}
    for vm in vms:
        if vm.fabric_domain != domain.name or vm.name in held_elsewhere:
            continue
        observations[vm.name] = vm_observation.VmObservation(
            vm.name,
            vm.address,
            vm.place,
            vm.accelerators,
            True,
            vm.state == platform_vm.LEAVING or vm.address in leaving_addresses,
            evidence.is_alive(vm.name, now),
            evidence.is_lost(vm.name, now),
            evidence.report(vm.name),
        )
    for name, record in domain.vms.items():
        if name in observations:
            continue
        observations[name] = vm_observation.VmObservation(
            name,
            record.address,
            record.place,
            record.accelerators,
            False,
            record.is_leaving or record.address in leaving_addresses,
            evidence.is_alive(name, now),
            evidence.is_lost(name, now),
            evidence.report(name),
        )
    return observations
