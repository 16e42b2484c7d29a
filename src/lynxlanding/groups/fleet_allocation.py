"""Divides the desired groups among the fabric domains."""

from lynxlanding.groups import domain_capacity, placement
from lynxlanding.rollout import version_change


def plan(entries, domains, observations, serving_names, owed):
    """Return each domain's desired groups and the groups that may change their version.

    Parameters
    ----------
    entries : list of DesiredGroups
        Desired groups over all domains.
    domains : list of Domain
        All fabric domains.
    observations : dict of str to dict of str to VmObservation
        VMs by fabric domain.
    serving_names : set of str
        Groups that serve by evidence.
    owed : callable
        Returns the number of groups of an entry that must serve.

    Returns
    -------
    desired : dict of str to list of DesiredGroups
        Desired groups by fabric domain.
    changing : set of str
        Groups that may drain now to change their version or adapters.
    """
    capacities = []
    for domain in domains:
        capacities.append(domain_capacity.measure(domain, observations[domain.name]))
    totals = []
    changing = set()
    for entry in entries:
        room = 0
        for capacity in capacities:
            if not entry.places or capacity.place in entry.places:
                room += capacity.free_vms // entry.vms_per_replica
        change = version_change.plan(entry, domains, serving_names, owed(entry), room)
        changing |= change.changing
        totals.append(entry.with_replicas(entry.replicas + change.surge))
    allocation, _ = placement.allocate(totals, capacities)
    desired = {}
    for domain in domains:
        held = allocation[domain.name]
        parts = []
        for entry in totals:
            parts.append(entry.with_replicas(held.get(entry.spec, 0)))
        desired[domain.name] = parts
    return desired, changing
