"""Allocates the desired groups to the fabric domains."""

from lynxlanding.groups import domain_capacity, placement
from lynxlanding.rollout import version_change


def plan(entries, domains, observations, serving_names, owed):
    """Return the desired groups of each domain and the groups that may change their version.

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
        Function that returns the number of groups of an entry that must serve.

    Returns
    -------
    desired : dict of str to list of DesiredGroups
        Desired groups by fabric domain.
    changing : set of str
        Groups that may be drained now in order to change their version or adapters.
    """
    capacities = []
    for domain in domains:
        capacities.append(domain_capacity.measure(domain, observations[domain.name]))
    totals = []
    changing = set()
    for entry in entries:
        possible_groups = 0
        for capacity in capacities:
            if not entry.places or capacity.place in entry.places:
                possible_groups += capacity.free_vms // entry.vms_per_replica
        change = version_change.plan(entry, domains, serving_names, owed(entry), possible_groups)
        changing |= change.changing
        totals.append(entry.with_replicas(entry.replicas + change.surge))
    allocation, _ = placement.allocate(totals, capacities)
    desired = {}
    for domain in domains:
        group_counts = allocation[domain.name]
        domain_entries = []
        for entry in totals:
            domain_entries.append(entry.with_replicas(group_counts.get(entry.spec, 0)))
        desired[domain.name] = domain_entries
    return desired, changing
