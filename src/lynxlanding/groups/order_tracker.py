"""Tracks the load orders required by a stored domain object."""

from lynxlanding.groups import engine_order, group_record

# Delay before an order that was not delivered is sent again.
RETRY_S = 2.0
# Delay before an order that may have been delivered is sent again. The engine may already be
# loading, and an early repetition could restart the load.
UNCONFIRMED_RETRY_S = 30.0


class OrderTracker:
    """Decides which load orders are due.

    Orders are derived only from a domain object that the store has confirmed. An order that an
    engine has accepted is not repeated to the same engine process, since a repetition could restart
    the load.
    """

    def __init__(self):
        self._accepted = {}
        self._retry_at = {}

    def due_orders(self, domain, observations, term, now):
        """Return the orders to send now.

        Parameters
        ----------
        domain : Domain
            Stored domain object.
        observations : dict of str to VmObservation
            VMs of the domain.
        term : int
            Term of this node's lease.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of EngineOrder
            Ordered by the age of the groups, so that each group is completed before the next.
        """
        orders = []
        expected = set()
        forming = []
        for group in domain.groups.values():
            if group.state == group_record.FORMING:
                forming.append(group)
        for group in sorted(forming, key=lambda item: (item.since, item.name)):
            peers = _peer_addresses(domain, group)
            for vm in group.vms:
                order = engine_order.EngineOrder(
                    vm,
                    domain.vms[vm].address,
                    group.name,
                    group.epoch,
                    group.model,
                    group.version,
                    group.adapters,
                    peers,
                    term,
                    group.checks_fencing_number,
                )
                expected.add(order.key)
                if self._is_due(order, group, observations.get(vm), now):
                    orders.append(order)
        for key in list(self._accepted):
            if key not in expected:
                del self._accepted[key]
        for key in list(self._retry_at):
            if key not in expected:
                del self._retry_at[key]
        return orders

    def record_accepted(self, order, instance):
        """Record that the engine accepted an order.

        Parameters
        ----------
        order : EngineOrder
            The order.
        instance : str
            Instance of the engine that accepted it; empty if unknown.
        """
        self._accepted[order.key] = instance
        self._retry_at.pop(order.key, None)

    def record_failed(self, order, now, *, is_delivered):
        """Record that an order was not confirmed.

        Parameters
        ----------
        order : EngineOrder
            The order.
        now : float
            Monotonic time, in seconds.
        is_delivered : bool
            Whether the engine may have received it.
        """
        self._retry_at[order.key] = now + (UNCONFIRMED_RETRY_S if is_delivered else RETRY_S)

    def _is_due(self, order, group, observation, now):
        if observation is None or not observation.is_alive:
            return False
        report = observation.report
        if report is not None and report.matches(group):
            return False
        if order.key in self._accepted:
            accepted_by = self._accepted[order.key]
            return report is not None and accepted_by not in ("", report.instance)
        return now >= self._retry_at.get(order.key, float("-inf"))


def _peer_addresses(domain, group):
    peers = [domain.vms[group.leader].address]
    for vm in group.vms:
        if vm != group.leader:
            peers.append(domain.vms[vm].address)
    return tuple(peers)
