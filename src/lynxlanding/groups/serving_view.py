"""Serving groups of all fabric domains, for routing and for operators."""

from lynxlanding.groups import group_endpoint, group_status, serving


def endpoints(domains, evidence, leaving, now):
    """Return a ``GroupEndpoint`` for each serving group.

    Parameters
    ----------
    domains : list of Domain
        Fabric domains.
    evidence : EvidenceTable
        Probe results.
    leaving : LeavingTable
        Leaving endpoints.
    now : float
        Monotonic time, in seconds.
    """
    found = []
    for group, verdict, domain in _verdicts(domains, evidence, leaving, now):
        if not verdict.serves:
            continue
        found.append(
            group_endpoint.GroupEndpoint(
                domain.vms[group.leader].address,
                group.model,
                group.name,
                evidence.valid_until(group.vms),
            )
        )
    return found


def status(domains, evidence, leaving, now, wall_time):
    """Return a status row for each group; parameters as in ``endpoints``."""
    rows = []
    for group, verdict, domain in _verdicts(domains, evidence, leaving, now):
        rows.append(group_status.describe(domain, group, verdict, evidence, now, wall_time))
    return rows


def _verdicts(domains, evidence, leaving, now):
    for domain in domains:
        leaving_vms = set()
        for vm, record in domain.vms.items():
            if leaving.is_leaving(record.address):
                leaving_vms.add(vm)
        for group in domain.groups.values():
            yield group, serving.check(group, evidence, now, leaving_vms), domain
