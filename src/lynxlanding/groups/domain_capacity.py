"""Capacity of one fabric domain for placement."""

import dataclasses


@dataclasses.dataclass(slots=True)
class DomainCapacity:
    """VMs of one fabric domain that can be placed.

    Parameters
    ----------
    name : str
        Fabric domain.
    place : str
        Data centre.
    free_vms : int
        Live VMs that belong to no group.
    groups : dict of str to int
        Groups that hold all their VMs, by specification.
    """

    name: str
    place: str
    free_vms: int
    groups: dict[str, int] = dataclasses.field(default_factory=dict)


def measure(domain, observations):
    """Return the capacity of a domain.

    Groups that are being removed, or lack a VM that no spare replaces, do not count, so that
    another domain with room takes their load.

    Parameters
    ----------
    domain : Domain
        Domain object.
    observations : dict of str to VmObservation
        VMs of the domain.
    """
    owners = domain.group_by_vm()
    free_vms = 0
    places = {}
    for name, observation in observations.items():
        places[observation.place] = places.get(observation.place, 0) + 1
        if name in owners or observation.is_leaving or not observation.is_listed:
            continue
        if observation.is_alive:
            free_vms += 1
    groups = {}
    for group in domain.groups.values():
        if not group.counts_as_placed:
            continue
        groups[group.spec] = groups.get(group.spec, 0) + 1
    place = max(sorted(places), key=places.get) if places else ""
    return DomainCapacity(domain.name, place, free_vms, groups)
