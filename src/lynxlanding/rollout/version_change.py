"""Changes versions and adapters while the owed capacity serves."""

from lynxlanding.groups import group_record
from lynxlanding.rollout import version_change_plan


def plan(desired, domains, serving, owed, room):
    """Decide which groups may change now.

    A group drains before it loads. Groups change only as far as the others serve what is owed. If
    nothing can be spared, one group more is formed with the new version first (surge). Only the
    first fabric domain with groups of the old version starts drains: its one object orders them,
    so that controllers of two domains cannot spend the same spare capacity.

    Parameters
    ----------
    desired : DesiredGroups
        Desired groups over all domains.
    domains : iterable of Domain
        All fabric domains.
    serving : collection of str
        Names of the groups that serve by evidence.
    owed : int
        Groups that must serve.
    room : int
        Further groups for which free VMs exist.

    Returns
    -------
    VersionChangePlan
        Groups that may change and the surge.
    """
    old_by_domain = {}
    serving_count = 0
    held = 0
    for domain in sorted(domains, key=lambda item: item.name):
        for group in domain.groups.values():
            if group.spec != desired.spec or not group.counts_as_placed:
                continue
            held += 1
            if group.name in serving:
                serving_count += 1
            if not desired.is_current(group) and not _is_changing(group, desired):
                old_by_domain.setdefault(domain.name, []).append(group)
    # At most one group more: further ones are surplus of an earlier, larger specification.
    surge_held = min(1, max(0, held - desired.replicas))
    remaining = sum(len(groups) for groups in old_by_domain.values())
    if remaining == 0:
        # The last groups may still be loading; the additional group serves in their place.
        surge = surge_held if serving_count - 1 < owed else 0
        return version_change_plan.VersionChangePlan(surge=surge)
    first = old_by_domain[min(old_by_domain)]
    budget = serving_count - owed
    candidates = []
    for group in sorted(first, key=lambda item: item.name):
        if group.state == group_record.READY:
            candidates.append(group.name)
    # A group that does not serve costs nothing.
    changing = [name for name in candidates if name not in serving]
    spared = [name for name in candidates if name in serving][: max(0, budget)]
    changing.extend(spared)
    surge = surge_held
    warning = ""
    if not changing and budget <= 0 and held >= desired.replicas:
        if surge_held == 0 and room > 0:
            surge = 1
        elif surge_held == 0:
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
