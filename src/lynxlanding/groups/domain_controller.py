"""Coordinates lease, reconciliation and orders for one fabric domain."""

import dataclasses

from lynxlanding.groups import controller_step, group_record, lease_manager, order_tracker


class DomainController:
    """Controls one fabric domain on behalf of one node, without I/O.

    The caller reads and writes the domain object and delivers the orders:

    1. Call ``observe`` with each domain object that was read.
    2. Call ``step``, which returns either a domain to write or the orders that are due.
    3. For a write, call ``begin_write``, send the conditional update, then call ``confirm_write``
       or ``discard_write``. If the outcome is unknown, call neither: the next ``observe`` shows
       whether the write took effect.
    4. Call ``may_send`` right before each order is sent.

    Parameters
    ----------
    holder : str
        Node and incarnation.
    lease_rules : LeaseRules
        Durations of leases.
    reconciler : Reconciler
        Plans the next domain object.
    """

    def __init__(self, holder, lease_rules, reconciler):
        self._lease_manager = lease_manager.LeaseManager(holder, lease_rules)
        self._reconciler = reconciler
        self._order_tracker = order_tracker.OrderTracker()
        self._domain = None

    @property
    def domain(self):
        """Domain object as last read or written; None before the first read."""
        return self._domain

    @property
    def order_tracker(self):
        """Tracker of the orders to the engines of the domain."""
        return self._order_tracker

    def observe(self, domain, now):
        """Record a domain object that was read from the store at ``now``."""
        self._domain = domain
        self._lease_manager.observe(domain.lease, now)

    def step(self, observations, desired, now, wall_time, *, drained=(), changing=()):
        """Decide on the next write or orders.

        Parameters
        ----------
        observations : dict of str to VmObservation
            VMs of the domain.
        desired : list of DesiredGroups
            Desired groups of this domain.
        now : float
            Monotonic time, in seconds.
        wall_time : float
            Wall-clock time, in seconds.
        drained, changing : collection of str, optional
            As in ``Reconciler.plan``.

        Returns
        -------
        ControllerStep
            A domain to write or orders to send.
        """
        plan = self._reconciler.plan(
            self._domain, observations, desired, wall_time, drained=drained, changing=changing
        )
        if plan.domain is not None:
            lease = self._lease_manager.next_lease(now)
            if lease is None:
                return controller_step.ControllerStep(waits_for_lease=True)
            return controller_step.ControllerStep(
                dataclasses.replace(plan.domain, lease=lease), plan.changes
            )
        orders = self._order_tracker.due_orders(
            self._domain, observations, self._lease_manager.term, now
        )
        has_forming_groups = self._has_forming_groups()
        if not self._lease_manager.holds_lease(now) or (
            has_forming_groups and self._lease_manager.renewal_is_due(now)
        ):
            if not has_forming_groups:
                return controller_step.ControllerStep()
            return self._renew(now)
        if has_forming_groups:
            return controller_step.ControllerStep(orders=tuple(orders))
        # The lease of an idle domain is released, because every node that watches the domain would
        # have to read each renewal.
        released = self._lease_manager.released_lease(now)
        if released is not None:
            return controller_step.ControllerStep(
                dataclasses.replace(self._domain, lease=released), ("lease released",)
            )
        if self._lease_manager.renewal_is_due(now):
            return self._renew(now)
        return controller_step.ControllerStep()

    def begin_write(self, domain, now):
        """Record that a write of ``domain`` is about to be sent."""
        self._lease_manager.begin_update(domain.lease, now)

    def confirm_write(self, domain):
        """Record that the write took effect."""
        self._domain = domain
        self._lease_manager.confirm_update()

    def discard_write(self):
        """Record that the write had no effect."""
        self._lease_manager.discard_update()

    def may_send(self, order, now):
        """Return whether an order may be sent; ``now`` is read right before sending."""
        if order.fencing_number != self._lease_manager.term:
            return False
        return self._lease_manager.may_send_order(now, order.checks_fencing_number)

    def _renew(self, now):
        lease = self._lease_manager.next_lease(now)
        if lease is None:
            return controller_step.ControllerStep(waits_for_lease=True)
        return controller_step.ControllerStep(
            dataclasses.replace(self._domain, lease=lease), ("lease renewed",)
        )

    def _has_forming_groups(self):
        groups = self._domain.groups.values()
        return any(group.state == group_record.FORMING for group in groups)
