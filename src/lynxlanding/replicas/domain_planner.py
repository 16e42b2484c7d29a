"""Plans the replica groups of one fabric domain and the orders that lead there."""

import dataclasses

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import engine_order, group_plan, placement

# The head of a group that lost a member stalls for this long before it is broken; the margin
# covers the age of what is known.
STALL_MARGIN_S = 1.0
# A forming group whose member does not get ready is given up after this many load times.
FORMING_FACTOR = 3.0
FORMING_SLACK_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Result of one planning step.

    Parameters
    ----------
    plan : DomainPlan or None
        Plan to be stored before anything else is ordered; None if the stored one stays.
    orders : list of EngineOrder
        Orders that carry out the stored plan.
    reasons : list of str
        Why the plan changes.
    """

    plan: group_plan.DomainPlan | None
    orders: list
    reasons: list


class DomainPlanner:
    """Planner of one domain, without I/O.

    The plan in the store is the only source of orders: a group is formed, opened or taken apart
    only after the change was stored by a conditional update, and the members of a group are used
    again only once its head can no longer serve. So planners that do not know of each other at
    most repeat each other's orders, and an order that is carried out late finds a higher epoch.

    Parameters
    ----------
    domain : str
        Name of the fabric domain.
    stall_s : float
        Time after which the head of an incomplete group is broken.
    """

    def __init__(self, domain, stall_s):
        self._domain = domain
        self._stall_s = stall_s
        self._forming_since = {}

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
        next_epoch = plan.next_epoch
        planned = {}
        used = set()
        for group in groups:
            used.update(group.members)
            if group.phase != group_plan.RETIRING and group.model in engine.models:
                planned[group.model] = planned.get(group.model, 0) + 1
        free = []
        for endpoint_id, view in sorted(engines.items()):
            if endpoint_id in used or not view.is_free_to_use:
                continue
            if _is_bound_elsewhere(view, plan, engines):
                continue
            free.append(view.record)
        chosen = placement.choose_groups(engine, free, planned, counts)
        if not chosen:
            groups = self._give_up_surplus(
                groups, engine, engines, len(free), planned, counts, reasons
            )
        for model, members in chosen:
            name = f"{self._domain}.{next_epoch}"
            groups.append(
                group_plan.GroupPlan(name, next_epoch, model, members, group_plan.FORMING)
            )
            reasons.append(f"{name}: forms {model} with {len(members)} engines")
            next_epoch += 1
        new_plan = group_plan.DomainPlan(next_epoch, tuple(groups))
        if new_plan != plan:
            return Step(new_plan, [], reasons)
        orders = self._orders(plan, engines)
        orders.extend(_stage_orders(engine, free))
        if counts.is_before_traffic:
            orders.extend(_stage_orders(engine, _settled_members(groups, engines)))
        return Step(None, orders, [])

    def _give_up_surplus(self, groups, engine, engines, free, planned, counts, reasons):
        """Return the groups with at most one more that retires for the sake of others."""
        for group in groups:
            if group.phase != group_plan.SERVING:
                # The engines of groups that form or retire are not counted yet.
                return groups
        if counts.is_before_traffic and not _is_staged(groups, engine, engines):
            return groups
        model = placement.choose_surplus(engine, free, planned, counts)
        kept = []
        for group in groups:
            if model is not None and group.model == model:
                reasons.append(f"{group.name}: its engines are needed as spares or elsewhere")
                kept.append(group.in_phase(group_plan.RETIRING))
                model = None
                continue
            kept.append(group)
        return kept

    def _review(self, group, engine, engines, reasons, now):
        """Return the group after its next transition, as a list of no or one group."""
        if group.phase == group_plan.RETIRING:
            if self._is_harmless(group, engines):
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
            if view is None or not view.is_registered:
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

    def _is_harmless(self, group, engines):
        """Return whether the head can no longer serve requests for the group."""
        view = engines.get(group.head)
        if view is None:
            return False
        if view.is_registered:
            held = view.record.membership
            if held is None or not held.belongs_to(group.name, group.epoch):
                return True
            return held.state == group_membership.BROKEN
        # The head may live on where neither the store nor a node reaches it. Its group is broken
        # once the members have been taken away for the time of a stall.
        return view.gone_s > self._stall_s + STALL_MARGIN_S

    def _orders(self, plan, engines):
        orders = []
        for group in plan.groups:
            if group.phase == group_plan.RETIRING:
                orders.extend(_retire_orders(group, engines))
                continue
            if group.phase == group_plan.FORMING:
                orders.extend(_join_orders(group, engines))
                continue
            head = engines[group.head].record.membership
            if head.state == group_membership.READY:
                orders.append(
                    engine_order.EngineOrder(engine_order.OPEN, group.head, group.name, group.epoch)
                )
        return orders


def _is_ready(group, engines):
    for member in group.members:
        held = engines[member].record.membership
        if held is None or not held.belongs_to(group.name, group.epoch):
            return False
        if held.state not in (group_membership.READY, group_membership.OPEN):
            return False
    return True


def _join_orders(group, engines):
    orders = []
    for member in group.members:
        held = engines[member].record.membership
        if held is not None and held.belongs_to(group.name, group.epoch):
            continue
        orders.append(
            engine_order.EngineOrder(
                engine_order.JOIN, member, group.name, group.epoch, group.model, group.members
            )
        )
    return orders


def _retire_orders(group, engines):
    view = engines.get(group.head)
    if view is None or not view.is_registered:
        return []
    held = view.record.membership
    if held is None or not held.belongs_to(group.name, group.epoch):
        return []
    if held.state in (group_membership.JOINING, group_membership.READY):
        return [engine_order.EngineOrder(engine_order.LEAVE, group.head, group.name, group.epoch)]
    if held.state != group_membership.OPEN:
        return []
    # Without one of its members the group makes no progress, so waiting for its work is useless.
    return [
        engine_order.EngineOrder(
            engine_order.CLOSE,
            group.head,
            group.name,
            group.epoch,
            aborts_work=not _is_complete(group, engines),
        )
    ]


def _stage_orders(engine, records):
    """Return the orders that put a second model on the hosts of engines."""
    orders = []
    for record in records:
        model = _model_to_stage(engine, record)
        if model is not None:
            orders.append(
                engine_order.EngineOrder(engine_order.STAGE, record.endpoint_id, model=model)
            )
    return orders


def _model_to_stage(engine, record):
    """Return the largest model that an engine holds neither in memory nor on its host."""
    wanted = []
    for model in sorted(engine.models.values(), key=lambda model: -model.size):
        if model.name != record.last_model:
            wanted.append(model.name)
    for name in wanted[: engine.retained_models]:
        if name not in record.staged_models:
            return name
    return None


def _settled_members(groups, engines):
    """Return the members of serving groups; a load in progress would replace a staged model."""
    records = []
    for group in groups:
        if group.phase != group_plan.SERVING:
            continue
        for member in group.members:
            records.append(engines[member].record)
    return records


def _is_staged(groups, engine, engines):
    for record in _settled_members(groups, engines):
        if _model_to_stage(engine, record) is not None:
            return False
    return True


def _is_complete(group, engines):
    for member in group.members:
        view = engines.get(member)
        if view is None or not view.is_registered or view.is_silent:
            return False
        held = view.record.membership
        if held is None or not held.belongs_to(group.name, group.epoch):
            return False
    return True


def _is_bound_elsewhere(view, plan, engines):
    """Return whether an engine belongs to a group outside the plan whose head still serves."""
    held = view.record.membership
    if held is None:
        return False
    for group in plan.groups:
        if held.belongs_to(group.name, group.epoch):
            # The group is retired in this step or was given up with this member in it.
            return False
    for other in engines.values():
        if other.record is None:
            continue
        head = other.record.membership
        if head is None or not head.is_head or not head.belongs_to(held.name, held.epoch):
            continue
        if head.state in (group_membership.OPEN, group_membership.CLOSING):
            return True
    return False
