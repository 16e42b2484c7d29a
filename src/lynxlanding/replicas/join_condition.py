"""Ties an order to join to the state that the engine itself reports."""

import dataclasses

from lynxlanding.replicas import order_outcome


def prepare(order, report):
    """Return the join to send, or the outcome if it must not be sent.

    Neither the registration nor the plan proves that an engine is in no group: a registration can
    be a late write, and an order can take effect seconds after it was sent. The engine compares the
    number of orders that it has accepted, so a join takes effect only if the engine has accepted no
    order since it reported that it is in no group.

    Parameters
    ----------
    order : EngineOrder
        Order to join a group.
    report : EngineReport
        Latest report of the engine.

    Returns
    -------
    order : EngineOrder or None
        Order that the engine refuses if it has accepted another one since the report.
    outcome : str or None
        Why nothing is sent, one of the constants of ``order_outcome``.
    """
    membership = report.membership
    if report.accepted_orders is None:
        # Nothing would make the engine refuse the join.
        return None, order_outcome.WITHHELD
    if membership is None:
        return dataclasses.replace(order, expected_orders=report.accepted_orders), None
    if membership.belongs_to(order.group, order.epoch):
        return None, order_outcome.ALREADY_DONE
    return None, order_outcome.WITHHELD
