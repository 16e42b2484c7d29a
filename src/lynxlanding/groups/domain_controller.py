"""Joins lease, reconciler and orders of one fabric domain."""

import dataclasses

from lynxlanding.groups import controller_step, group_record, lease_manager, order_tracker


class DomainController:
    """Decision module of one node for one fabric domain.

    The caller reads and writes the domain object and delivers the orders:

    1. ``observe`` with the domain object that was read.
    2. ``step`` returns the domain to write, if any, or the orders that are due.
    3. ``begin_write``, the conditional update, then ``confirm_write`` or ``refuse_write``. After an
       unknown outcome, neither; the next ``observe`` finds out.
    4. ``may_send`` right before each order.

    Parameters
    ----------
    holder : str
        Node and incarnation.
    lease_rules : LeaseRules
        Durations.
    reconciler : Reconciler
        Plans the next domain object.
    """

    def __init__(self, holder, lease_rules, reconciler):
        self._keeper = lease_manager.LeaseKeeper(holder, lease_rules)
        self._reconciler = reconciler
        self._orders = order_tracker.OrderBook()
        self._domain = None

    @property
    def domain(self):
        """Domain object as last read or confirmed; None before the first read."""
        return self._domain

    @property
    def orders(self):
        """Orders that engines accepted."""
        return self._orders

    def observe(self, domain, now):
        """Record a domain object that was read from the store at ``now``."""
        self._domain = domain
        self._keeper.observe(domain.lease, now)

    def step(self, observations, desired, now, wall_time, *, drained=(), changing=()):
        """Decide what to do next.

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
            lease = self._keeper.next_lease(now)
            if lease is None:
                return controller_step.ControllerStep(waits_for_lease=True)
            return controller_step.ControllerStep(
                dataclasses.replace(plan.domain, lease=lease), plan.changes
            )
        orders = self._orders.due(self._domain, observations, self._keeper.term, now)
        waits = self._has_forming_groups()
        if not self._keeper.holds(now) or (waits and self._keeper.renewal_is_due(now)):
            if not waits:
                return controller_step.ControllerStep()
            return self._renew(now)
        if waits:
            return controller_step.ControllerStep(orders=tuple(orders))
        # An idle domain has no holder: renewals would cost every watching node a read.
        released = self._keeper.released_lease(now)
        if released is not None:
            return controller_step.ControllerStep(
                dataclasses.replace(self._domain, lease=released), ("lease released",)
            )
        if self._keeper.renewal_is_due(now):
            return self._renew(now)
        return controller_step.ControllerStep()

    def begin_write(self, domain, now):
        """Record that ``domain`` is about to be written."""
        self._keeper.begin_update(domain.lease, now)

    def confirm_write(self, domain):
        """Record that the write took effect."""
        self._domain = domain
        self._keeper.confirm()

    def refuse_write(self):
        """Record that the write had no effect."""
        self._keeper.forget()

    def may_send(self, order, now):
        """Return whether an order may be sent; ``now`` is read right before sending."""
        if order.fencing_number != self._keeper.term:
            return False
        return self._keeper.may_order(now, order.checks_fencing_number)

    def _renew(self, now):
        lease = self._keeper.next_lease(now)
        if lease is None:
            return controller_step.ControllerStep(waits_for_lease=True)
        return controller_step.ControllerStep(
            dataclasses.replace(self._domain, lease=lease), ("lease renewed",)
        )

    def _has_forming_groups(self):
        groups = self._domain.groups.values()
        return any(group.state == group_record.FORMING for group in groups)
