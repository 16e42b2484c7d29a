"""Errors of replica groups and of the orders sent to their engines."""

from lynxlanding.errors import base


class GroupsError(base.LynxlandingError):
    """Base class of the errors of replica groups."""

    type_name = "groups_error"


class InvalidDomain(GroupsError):
    """A domain object violates an invariant, for example a VM is in two groups."""

    type_name = "invalid_domain"


class OrderFailed(GroupsError):
    """An order was not delivered or not confirmed, so it may have taken effect."""

    type_name = "order_failed"


class StaleFencingNumber(OrderFailed):
    """The engine has accepted an order with a higher fencing number."""

    type_name = "stale_fencing_number"


class ProbeFailed(GroupsError):
    """A VM did not respond to a probe in time, or its response is not a load report."""

    type_name = "probe_failed"


class ProbeRefused(ProbeFailed):
    """A VM refused the connection of a probe, so no engine is listening on it."""

    type_name = "probe_refused"


class OrderNotDelivered(OrderFailed):
    """The engine refused the connection or the order, so the order had no effect."""

    type_name = "order_not_delivered"
