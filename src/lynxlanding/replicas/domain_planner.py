"""Plans the replica groups of one fabric domain and the orders that lead there."""

import dataclasses

import xxhash

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import engine_order, group_plan, placement, staging

# A forming group whose member does not get ready is given up after this many load times.
FORMING_FACTOR = 3.0
FORMING_SLACK_S = 4.0
# A lack must last for this long before serving groups are given up for it, plus a part of the
# spread that depends on the domain: another domain may be forming the missing group already.
SURPLUS_DELAY_S = 0.3
SURPLUS_SPREAD_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Result of one planning step.

    Parameters
    ----------
    plan : DomainPlan or None
        Plan to be stored before anything else is ordered; None if the stored one stays.
    orders : list of EngineOrder
        Orders that carry out the stored plan.
    background : list of EngineOrder
        Orders that can wait: they only make engines ready for a second model.
    reasons : list of str
        Why the plan changes.
    """

    plan: group_plan.DomainPlan | None
    orders: list
    background: list
    reasons: list


class DomainPlanner:
    """Planner of one domain, without I/O.

    The plan in the store is the only source of orders: a group is formed, opened or taken apart
    only after the change was stored by a conditional update, and an engine is planned for a group
    only after it has left the one before. So planners that do not know of each other at most
    repeat each other's orders, and an order that is carried out late finds a higher epoch.

    Whether the head of a group is dead or cut off from everyone cannot be told from outside. Its
    members leave before they are used again; a head that lives on then makes no progress.

    Parameters
    ----------
    domain : str
        Name of the fabric domain.
    """

    def __init__(self, domain):
        self._domain = domain
        self._forming_since = {}
        self._surplus_since = None
        # Domains that see the same lack do not all act on it at once.
        spread = xxhash.xxh32_intdigest(domain) / 2**32
        self._surplus_delay_s = SURPLUS_DELAY_S + spread * SURPLUS_SPREAD_S

    def step(self, plan, engine, engines, counts, now):
        """Return the next ``Step``.

        Parameters
        ----------
        plan : DomainPlan
            Plan as stored.
        engine : EngineSpec
            Models and times of the engines.
        engines : dict of str to EngineView
            Engines of the domain, including those that are gone but planned.
        counts : FleetCounts
            Needs of the fleet.
        now : float
            Monotonic seconds.
        """
        reasons = []
        groups = []
        for group in plan.groups:
            groups.extend(self._review(group, engine, engines, reasons, now))
        used = set()
        planned = {}
        for group in groups:
            if group.phase == group_plan.RETIRING:
                continue
            used.update(group.members)
            planned[group.model] = planned.get(group.model, 0) + 1
        free = _free_records(engines, used)
        coming = _coming_records(groups, engines)
        chosen = placement.choose_groups(engine, free, planned, counts, coming)
        next_epoch = plan.next_epoch
        for model, members in chosen:
            name = group_plan.make_name(self._domain, next_epoch, model)
            groups.append(
                group_plan.GroupPlan(name, next_epoch, model, members, group_plan.FORMING)
            )
            reasons.append(f"{name}: forms {model} with {len(members)} engines")
            next_epoch += 1
        if not chosen:
            self._give_up_surplus(groups, engine, engines, free, planned, counts, reasons, now)
        new_plan = group_plan.DomainPlan(next_epoch, tuple(groups))
        if new_plan != plan:
            return Step(new_plan, [], [], reasons)
        orders = _orders(plan, engines, used)
        orders.extend(staging.first_orders(engine, free, planned, counts))
        # Free engines come before members, since groups are formed of them.
        versatile = [record for record in free if not staging.is_blank(record)]
        versatile.extend(_settled_members(groups, engines))
        return Step(None, orders, staging.orders(engine, versatile, planned, counts), [])

    def _review(self, group, engine, engines, reasons, now):
        """Return the group after its next transition, as a list of no or one group."""
        if group.phase == group_plan.RETIRING:
            if _is_dissolved(group, engines):
                reasons.append(f"{group.name}: retired")
                return []
            return [group]
        problem = self._problem(group, engine, engines, now)
        if problem is not None:
            self._forming_since.pop(group.name, None)
            reasons.append(f"{group.name}: {problem}")
            return [group.in_phase(group_plan.RETIRING)]
        if group.phase == group_plan.FORMING and _is_ready(group, engines):
            self._forming_since.pop(group.name, None)
            reasons.append(f"{group.name}: every member is ready")
            return [group.in_phase(group_plan.SERVING)]
        return [group]

    def _problem(self, group, engine, engines, now):
        """Return why a group cannot go on, or None."""
        if group.model not in engine.models:
            return "its model is no longer served"
        for member in group.members:
            view = engines.get(member)
            if view is None or not view.is_present:
                return f"{member} is gone"
            if view.is_silent:
                return f"{member} is silent"
            if view.record.is_leaving:
                return f"{member} is leaving"
            held = view.record.membership
            if group.phase != group_plan.SERVING:
                continue
            if held is None or not held.belongs_to(group.name, group.epoch):
                return f"{member} is no longer a member"
            if held.state == group_membership.BROKEN:
                return f"{member} is broken"
        if group.phase == group_plan.FORMING:
            since = self._forming_since.setdefault(group.name, now)
            limit_s = FORMING_FACTOR * engine.models[group.model].load_s + FORMING_SLACK_S
            if now - since > limit_s:
                return "its members did not get ready in time"
        return None

    def _give_up_surplus(self, groups, engine, engines, free, planned, counts, reasons, now):
        """Retire groups whose engines are needed otherwise."""
        serving = []
        for index, group in enumerate(groups):
            if group.phase != group_plan.SERVING:
                # Engines of groups that form or retire will be counted soon.
                return
            records = [engines[member].record for member in group.members]
            serving.append((index, group.model, records))
        if counts.is_before_traffic:
            members = _settled_members(groups, engines)
            if staging.orders(engine, members, planned, counts):
                return
        surplus = placement.choose_surplus(engine, free, planned, counts, serving)
        if not surplus:
            self._surplus_since = None
            return
        if self._surplus_since is None:
            self._surplus_since = now
        if not counts.is_before_traffic and now - self._surplus_since < self._surplus_delay_s:
            return
        self._surplus_since = None
        for index in surplus:
            group = groups[index]
            groups[index] = group.in_phase(group_plan.RETIRING)
            reasons.append(f"{group.name}: its engines are needed as spares or elsewhere")


def _free_records(engines, used):
    free = []
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id in used or not view.is_usable:
            continue
        if view.record.membership is None:
            free.append(view.record)
    return free


def _coming_records(groups, engines):
    """Return the engines that will be free when the retiring groups have dissolved."""
    coming = []
    for group in groups:
        if group.phase != group_plan.RETIRING:
            continue
        for member in group.members:
            view = engines.get(member)
            if view is not None and view.is_usable and _is_member(group, view):
                coming.append(view.record)
    return coming


def _is_member(group, view):
    """Return whether an engine says that it belongs to the group."""
    if view is None or view.record is None:
        return False
    held = view.record.membership
    return held is not None and held.belongs_to(group.name, group.epoch)


def _is_ready(group, engines):
    for member in group.members:
        view = engines[member]
        if not _is_member(group, view):
            return False
        if view.record.membership.state not in (group_membership.READY, group_membership.OPEN):
            return False
    return True


def _is_dissolved(group, engines):
    """Return whether every member that can be reached has left."""
    for member in group.members:
        view = engines.get(member)
        if view is not None and view.is_present and not view.is_silent and _is_member(group, view):
            return False
    return True


def _is_complete(group, engines):
    for member in group.members:
        view = engines.get(member)
        if view is None or not view.is_present or view.is_silent or not _is_member(group, view):
            return False
    return True


def _orders(plan, engines, used):
    orders = []
    for group in plan.groups:
        if group.phase == group_plan.RETIRING:
            orders.extend(_retire_orders(group, engines))
        elif group.phase == group_plan.FORMING:
            orders.extend(_join_orders(group, engines))
        elif engines[group.head].record.membership.state == group_membership.READY:
            orders.append(_order(engine_order.OPEN, group.head, group))
    retiring = set()
    for group in plan.groups:
        if group.phase == group_plan.RETIRING:
            retiring.update(group.members)
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id in used or endpoint_id in retiring or not view.is_usable:
            continue
        held = view.record.membership
        if held is not None:
            # A late order or a healed cut has brought back a group that is not planned any more.
            orders.append(
                engine_order.EngineOrder(engine_order.LEAVE, endpoint_id, held.name, held.epoch)
            )
    return orders


def _order(kind, endpoint_id, group, **fields):
    return engine_order.EngineOrder(kind, endpoint_id, group.name, group.epoch, **fields)


def _join_orders(group, engines):
    orders = []
    for member in group.members:
        view = engines[member]
        if _is_member(group, view):
            continue
        held = view.record.membership
        if held is not None:
            orders.append(
                engine_order.EngineOrder(engine_order.LEAVE, member, held.name, held.epoch)
            )
            continue
        orders.append(
            _order(engine_order.JOIN, member, group, model=group.model, members=group.members)
        )
    return orders


def _retire_orders(group, engines):
    head = engines.get(group.head)
    if _is_complete(group, engines):
        state = head.record.membership.state
        if state == group_membership.OPEN:
            return [_order(engine_order.CLOSE, group.head, group)]
        if state == group_membership.CLOSING:
            return []
    # An incomplete group makes no progress, so its work is not waited for.
    orders = []
    for member in group.members:
        view = engines.get(member)
        if view is None or not view.is_present or view.is_silent:
            continue
        if _is_member(group, view):
            orders.append(_order(engine_order.LEAVE, member, group))
    return orders


def _settled_members(groups, engines):
    """Return the members of serving groups; a load in progress would replace a staged model."""
    records = []
    for group in groups:
        if group.phase != group_plan.SERVING:
            continue
        for member in group.members:
            records.append(engines[member].record)
    return records
