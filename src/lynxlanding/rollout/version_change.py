"""Plans rolling changes of versions and adapters that preserve the owed capacity."""

from lynxlanding.groups import group_record
from lynxlanding.rollout import version_change_plan


def plan(desired, domains, serving, owed, formable_groups):
    """Decide which groups may change now.

    A group drains before it loads the new version. Groups may change only while the remaining ones
    serve the owed capacity. If no group can be spared, one additional group is formed with the new
    version first (surge). Drains start only in the first fabric domain that has groups with the
    old version. The single object of that domain serialises them, so that the controllers of two
    domains cannot use the same spare capacity.

    Parameters
    ----------
    desired : DesiredGroups
        Desired groups over all domains.
    domains : iterable of Domain
        All fabric domains.
    serving : collection of str
        Names of the groups that are observed to serve.
    owed : int
        Number of groups that must serve.
    formable_groups : int
        Number of additional groups for which free VMs exist.

    Returns
    -------
    VersionChangePlan
        Groups that may change, and the number of additional groups.
    """
    outdated_by_domain = {}
    serving_count = 0
    placed_count = 0
    for domain in sorted(domains, key=lambda item: item.name):
        for group in domain.groups.values():
            if group.spec != desired.spec or not group.counts_as_placed:
                continue
            placed_count += 1
            if group.name in serving:
                serving_count += 1
            if not desired.is_current(group) and not _is_changing(group, desired):
                outdated_by_domain.setdefault(domain.name, []).append(group)
    # The change adds at most one group. Any further ones are surplus of an earlier specification
    # with more replicas.
    placed_surge = min(1, max(0, placed_count - desired.replicas))
    remaining = sum(len(groups) for groups in outdated_by_domain.values())
    if remaining == 0:
        # The last groups may still be loading; the additional group serves in their place.
        surge = placed_surge if serving_count - 1 < owed else 0
        return version_change_plan.VersionChangePlan(surge=surge)
    first_domain_groups = outdated_by_domain[min(outdated_by_domain)]
    spare_count = serving_count - owed
    candidates = []
    for group in sorted(first_domain_groups, key=lambda item: item.name):
        if group.state == group_record.READY:
            candidates.append(group.name)
    # Draining a group that does not serve removes no capacity.
    changing = [name for name in candidates if name not in serving]
    spare_names = [name for name in candidates if name in serving][: max(0, spare_count)]
    changing.extend(spare_names)
    surge = placed_surge
    warning = ""
    if not changing and spare_count <= 0 and placed_count >= desired.replicas:
        if placed_surge == 0 and formable_groups > 0:
            surge = 1
        elif placed_surge == 0:
            warning = (
                f"{desired.spec}: {serving_count} groups serve and {owed} are owed; the change "
                "waits because no VMs are free for one group more"
            )
    return version_change_plan.VersionChangePlan(frozenset(changing), surge, remaining, warning)


def _is_changing(group, desired):
    return (
        group.state == group_record.DRAINING
        and group.after_drain == group_record.CHANGE_VERSION
        and group.next_version == desired.version
        and group.next_adapters == desired.adapters
    )
