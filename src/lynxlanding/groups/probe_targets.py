"""Selection of VMs to probe."""

from lynxlanding.groups import group_record


def known(domains, vms):
    """Return address and data centre of all VMs by name.

    Parameters
    ----------
    domains : iterable of Domain
        All fabric domains.
    vms : iterable of platform.vm.Vm
        The VM list, which takes precedence over the domain objects.
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

    They are probed more often, so that a group becomes ready as soon as it has been loaded.
    """
    targets = []
    for domain in domains:
        for group in domain.groups.values():
            if group.state != group_record.FORMING:
                continue
            for vm in group.vms:
                targets.append((vm, domain.vms[vm].address))
    return targets
