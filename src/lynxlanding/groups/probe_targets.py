"""VMs that can be probed."""

from lynxlanding.groups import group_record


def known(domains, vms):
    """Return address and place of all VMs by name.

    Parameters
    ----------
    domains : iterable of Domain
        All fabric domains.
    vms : iterable of platform.vm.Vm
        The VM list, which wins over the domain objects.
    """
    targets = {}
    for domain in domains:
        for name, record in domain.vms.items():
            targets[name] = (record.address, record.place)
    for vm in vms:
        targets[vm.name] = (vm.address, vm.place)
    return targets


def forming(domains):
    """Return name and address of the VMs of forming groups.

    They are probed more often, so that a loaded group does not wait for the next round.
    """
    targets = []
    for domain in domains:
        for group in domain.groups.values():
            if group.state != group_record.FORMING:
                continue
            for vm in group.vms:
                targets.append((vm, domain.vms[vm].address))
    return targets
