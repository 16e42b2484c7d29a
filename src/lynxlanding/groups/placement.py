"""Distributes desired replica groups over fabric domains.

A group is always placed entirely in one fabric domain. The result depends only on the inputs, so
that nodes with the same view agree without communication. Nodes with different views may place
more groups than desired; the next reconciliation removes the surplus.
"""


def allocate(desired, capacities):
    """Decide how many groups of each specification each domain holds.

    Existing groups stay in their domain. A new group goes to the data centre with the fewest groups
    of the specification, which minimises the loss when a data centre fails, and there to the domain
    with the most free VMs. Incomplete groups are kept only if no domain has enough free VMs for a
    new group; their repair policy then decides about them.

    Parameters
    ----------
    desired : list of DesiredGroups
        Desired groups.
    capacities : list of DomainCapacity
        Capacities of the domains; not modified.

    Returns
    -------
    allocation : dict of str to dict of str to int
        Number of groups by domain and specification.
    unplaced : dict of str to int
        Number of groups by specification for which no domain has capacity.
    """
    domains = sorted(capacities, key=lambda capacity: capacity.name)
    allocation = {}
    free_vms = {}
    for domain in domains:
        allocation[domain.name] = {}
        free_vms[domain.name] = domain.free_vms
    unplaced = {}
    # Larger groups are placed first, since smaller ones fit more easily into the remaining VMs.
    for entry in sorted(desired, key=lambda item: (-item.vms_per_replica, item.spec)):
        candidates = []
        for domain in domains:
            if not entry.places or domain.place in entry.places:
                candidates.append(domain)
        groups_by_place = {}
        remaining = entry.replicas
        remaining = _keep_existing(entry, candidates, allocation, groups_by_place, remaining)
        while remaining > 0:
            best = _best_domain(entry, candidates, free_vms, groups_by_place)
            if best is None:
                remaining = _keep_incomplete(entry, candidates, allocation, remaining)
                if remaining > 0:
                    unplaced[entry.spec] = remaining
                break
            group_counts = allocation[best.name]
            group_counts[entry.spec] = group_counts.get(entry.spec, 0) + 1
            groups_by_place[best.place] = groups_by_place.get(best.place, 0) + 1
            free_vms[best.name] -= entry.vms_per_replica
            remaining -= 1
    return allocation, unplaced


def _keep_existing(entry, candidates, allocation, groups_by_place, remaining):
    # Groups are counted round-robin over the domains, so that a reduction is spread over them.
    available = {}
    for domain in candidates:
        available[domain.name] = domain.groups.get(entry.spec, 0)
    while remaining > 0:
        taken = 0
        for domain in candidates:
            if available[domain.name] == 0 or remaining == 0:
                continue
            available[domain.name] -= 1
            group_counts = allocation[domain.name]
            group_counts[entry.spec] = group_counts.get(entry.spec, 0) + 1
            groups_by_place[domain.place] = groups_by_place.get(domain.place, 0) + 1
            remaining -= 1
            taken += 1
        if taken == 0:
            break
    return remaining


def _keep_incomplete(entry, candidates, allocation, remaining):
    for domain in candidates:
        kept = min(remaining, domain.incomplete.get(entry.spec, 0))
        if kept == 0:
            continue
        group_counts = allocation[domain.name]
        group_counts[entry.spec] = group_counts.get(entry.spec, 0) + kept
        remaining -= kept
    return remaining


def _best_domain(entry, candidates, free_vms, groups_by_place):
    best = None
    best_key = None
    for domain in candidates:
        if free_vms[domain.name] < entry.vms_per_replica:
            continue
        key = (groups_by_place.get(domain.place, 0), -free_vms[domain.name], domain.name)
        if best is None or key < best_key:
            best = domain
            best_key = key
    return best
