"""Orders that carry out the stored plan of a fabric domain."""

from lynxlanding.fleet import group_membership
from lynxlanding.replicas import engine_order, group_plan, group_state


def make_orders(plan, engines, assigned_ids):
    """Return the orders that follow from a stored plan.

    Parameters
    ----------
    plan : DomainPlan
        Stored plan.
    engines : dict of str to EngineView
        Engines of the domain by id, including members of planned groups that are gone.
    assigned_ids : set of str
        Members of the groups that are not retiring.
    """
    retiring = set()
    for group in plan.groups:
        if group.phase == group_plan.RETIRING:
            retiring.update(group.members)
    orders = []
    for group in plan.groups:
        if group.phase == group_plan.RETIRING:
            orders.extend(_retire_orders(group, engines))
        elif group.phase == group_plan.FORMING:
            orders.extend(_join_orders(group, engines, retiring))
        elif engines[group.head].record.membership.state == group_membership.READY:
            orders.append(_make_order(engine_order.OPEN, group.head, group))
    for endpoint_id, view in sorted(engines.items()):
        if endpoint_id in assigned_ids or endpoint_id in retiring or not view.is_usable:
            continue
        membership = view.record.membership
        if membership is not None:
            # A delayed order or a healed partition has brought back a group that is no longer
            # planned.
            orders.append(_make_leave_order(endpoint_id, membership))
    return orders


def _make_order(kind, endpoint_id, group, **fields):
    return engine_order.EngineOrder(kind, endpoint_id, group.name, group.epoch, **fields)


def _make_leave_order(endpoint_id, membership):
    """Return the order to leave the group that the engine reports, planned or not."""
    return engine_order.EngineOrder(
        engine_order.LEAVE, endpoint_id, membership.name, membership.epoch
    )


def _join_orders(group, engines, retiring):
    """Return the orders for members that have not joined yet.

    A member joins only after the plan no longer has the retiring group that it comes from.
    """
    orders = []
    for member in group.members:
        view = engines[member]
        if member in retiring or group_state.is_member(group, view):
            continue
        membership = view.record.membership
        if membership is not None:
            orders.append(_make_leave_order(member, membership))
            continue
        orders.append(
            _make_order(engine_order.JOIN, member, group, model=group.model, members=group.members)
        )
    return orders


def _retire_orders(group, engines):
    head = engines.get(group.head)
    if group_state.is_complete(group, engines):
        state = head.record.membership.state
        if state == group_membership.OPEN:
            return [_make_order(engine_order.CLOSE, group.head, group)]
        if state == group_membership.CLOSING:
            return []
    # An incomplete group makes no progress, so there is no point in waiting for its requests.
    orders = []
    for member in group.members:
        view = engines.get(member)
        if view is None or not view.is_present or view.is_silent:
            continue
        if group_state.is_member(group, view):
            orders.append(_make_order(engine_order.LEAVE, member, group))
    return orders
