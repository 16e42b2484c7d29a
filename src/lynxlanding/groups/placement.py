"""Distributes desired replica groups over fabric domains.

A group is always placed whole inside one fabric domain. The result depends only on the inputs, so
that nodes with the same view agree without talking to each other; nodes with different views may
place a group too many, which the next reconciliation removes.
"""


def allocate(desired, capacities):
    """Decide how many groups of each specification each domain holds.

    Groups that exist stay where they are. Further groups go to the place with the fewest groups
    of the specification, so that the loss of a data centre costs the fewest, and there to the
    domain with the most free VMs. Only where no domain has room does an incomplete group keep its
    place, so that its repair policy decides about it.

    Parameters
    ----------
    desired : list of DesiredGroups
        Desired groups.
    capacities : list of DomainCapacity
        Domains; not changed.

    Returns
    -------
    allocation : dict of str to dict of str to int
        Number of groups by domain and specification.
    unplaced : dict of str to int
        Number of groups by specification for which no domain has room.
    """
    domains = sorted(capacities, key=lambda capacity: capacity.name)
    allocation = {}
    free_vms = {}
    for domain in domains:
        allocation[domain.name] = {}
        free_vms[domain.name] = domain.free_vms
    unplaced = {}
    # Larger groups first: smaller ones fit into what remains, not the other way round.
    for entry in sorted(desired, key=lambda item: (-item.vms_per_replica, item.spec)):
        candidates = []
        for domain in domains:
            if not entry.places or domain.place in entry.places:
                candidates.append(domain)
        by_place = {}
        remaining = entry.replicas
        remaining = _keep_existing(entry, candidates, allocation, by_place, remaining)
        while remaining > 0:
            best = _best_domain(entry, candidates, free_vms, by_place)
            if best is None:
                remaining = _keep_incomplete(entry, candidates, allocation, remaining)
                if remaining > 0:
                    unplaced[entry.spec] = remaining
                break
            held = allocation[best.name]
            held[entry.spec] = held.get(entry.spec, 0) + 1
            by_place[best.place] = by_place.get(best.place, 0) + 1
            free_vms[best.name] -= entry.vms_per_replica
            remaining -= 1
    return allocation, unplaced


def _keep_existing(entry, candidates, allocation, by_place, remaining):
    # Taking one group from each domain in turn spreads a reduction over the domains.
    left = {}
    for domain in candidates:
        left[domain.name] = domain.groups.get(entry.spec, 0)
    while remaining > 0:
        taken = 0
        for domain in candidates:
            if left[domain.name] == 0 or remaining == 0:
                continue
            left[domain.name] -= 1
            held = allocation[domain.name]
            held[entry.spec] = held.get(entry.spec, 0) + 1
            by_place[domain.place] = by_place.get(domain.place, 0) + 1
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
        held = allocation[domain.name]
        held[entry.spec] = held.get(entry.spec, 0) + kept
        remaining -= kept
    return remaining


def _best_domain(entry, candidates, free_vms, by_place):
    best = None
    best_key = None
    for domain in candidates:
        if free_vms[domain.name] < entry.vms_per_replica:
            continue
        key = (by_place.get(domain.place, 0), -free_vms[domain.name], domain.name)
        if best is None or key < best_key:
            best = domain
            best_key = key
    return best
