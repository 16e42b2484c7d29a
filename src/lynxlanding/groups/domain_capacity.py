"""Placement capacity of one fabric domain."""

import dataclasses

from lynxlanding.groups import group_record


@dataclasses.dataclass(slots=True)
class DomainCapacity:
    """Free VMs and existing groups of one fabric domain.

    Parameters
    ----------
    name : str
        Fabric domain.
    place : str
        Data centre.
    free_vms : int
        Number of live VMs that belong to no group.
    groups : dict of str to int
        Number of groups that have all their VMs, by specification.
    incomplete : dict of str to int
        Number of groups that lack a VM for which there is no spare, by specification.
    """

    name: str
    place: str
    free_vms: int
    groups: dict[str, int] = dataclasses.field(default_factory=dict)
    incomplete: dict[str, int] = dataclasses.field(default_factory=dict)


def measure(domain, observations):
    """Return the capacity of a domain.

    Groups that are being removed are not counted. Incomplete groups without a spare are counted
    separately, so that placement can replace them with groups in a domain that has capacity.

    Parameters
    ----------
    domain : Domain
        Domain object.
    observations : dict of str to VmObservation
        VMs of the domain.
    """
    group_by_vm = domain.group_by_vm()
    free_vms = 0
    vm_count_by_place = {}
    for name, observation in observations.items():
        vm_count_by_place[observation.place] = vm_count_by_place.get(observation.place, 0) + 1
        if name in group_by_vm or observation.is_leaving or not observation.is_listed:
            continue
        if observation.is_alive:
            free_vms += 1
    groups = {}
    incomplete = {}
    for group in domain.groups.values():
        if group.state == group_record.INCOMPLETE:
            incomplete[group.spec] = incomplete.get(group.spec, 0) + 1
        if not group.counts_as_placed:
            continue
        groups[group.spec] = groups.get(group.spec, 0) + 1
    place = max(sorted(vm_count_by_place), key=vm_count_by_place.get) if vm_count_by_place else ""
    return DomainCapacity(domain.name, place, free_vms, groups, incomplete)
