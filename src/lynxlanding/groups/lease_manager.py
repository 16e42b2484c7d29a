"""Management of a domain's lease by one node.

Leases with a holder, a term used as fencing number, and a validity that starts before the request
is sent follow Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed
file cache consistency" (SOSP 1989).
"""

from lynxlanding.groups import lease as lease_module


class LeaseManager:
    """Decides when this node may acquire the lease and when it may send orders.

    Parameters
    ----------
    holder : str
        Node and incarnation. A restarted node is a different holder, because it does not know
        which orders its previous incarnation has sent.
    rules : LeaseRules
        Durations.
    """

    def __init__(self, holder, rules):
        self._holder = holder
        self._rules = rules
        self._observed_lease = None
        self._observed_at = 0.0
        self._pending_lease = None
        self._pending_sent_at = 0.0
        self._held_lease = None
        self._valid_until = 0.0
        self._orders_blocked_until = 0.0

    @property
    def holder(self):
        """Node and incarnation that this manager acts for."""
        return self._holder

    @property
    def term(self):
        """Term of the lease that this node holds, or 0."""
        return self._held_lease.term if self._held_lease is not None else 0

    def observe(self, lease, now):
        """Record the lease of a domain object that was read from the store.

        Parameters
        ----------
        lease : Lease
            Lease in the object.
        now : float
            Monotonic time after the read, in seconds.
        """
        if self._pending_lease is not None and lease == self._pending_lease:
            self.confirm_update()
        if lease != self._observed_lease:
            self._observed_lease = lease
            self._observed_at = now
        if self._held_lease is not None and (lease.holder, lease.term) != (
            self._held_lease.holder,
            self._held_lease.term,
        ):
            self._held_lease = None

    def next_lease(self, now):
        """Return the lease to write, or None while another holder's lease may be valid."""
        observed = self._observed_lease or lease_module.Lease()
        if observed.holder == self._holder:
            return lease_module.Lease(self._holder, observed.term, observed.renewal + 1)
        if observed.is_released or now - self._observed_at >= self._rules.duration_s:
            return lease_module.Lease(self._holder, observed.term + 1, 0)
        return None

    def begin_update(self, lease, now):
        """Record that an update of the domain with ``lease`` is about to be sent."""
        previous = self._observed_lease
        self._pending_lease = lease
        self._pending_sent_at = now
        if lease.holder != self._holder:
            # A release may take effect even if its response is lost, so no order may follow it.
            self._held_lease = None
        if previous is None or previous.holder in ("", self._holder):
            return
        # The previous holder may consider its lease valid until ``duration_s`` after its last
        # renewal, which took place no later than ``_observed_at``.
        wait_s = self._rules.duration_s + self._rules.takeover_wait_s
        self._orders_blocked_until = max(self._orders_blocked_until, self._observed_at + wait_s)

    def confirm_update(self):
        """Record that the pending update has taken effect."""
        pending_lease = self._pending_lease
        if pending_lease is None:
            return
        self._pending_lease = None
        self._observed_lease = pending_lease
        self._observed_at = self._pending_sent_at
        if pending_lease.holder != self._holder:
            self._held_lease = None
            return
        self._held_lease = pending_lease
        self._valid_until = self._pending_sent_at + self._rules.duration_s

    def discard_update(self):
        """Record that the pending update has not taken effect."""
        self._pending_lease = None

    def holds_lease(self, now):
        """Return whether this node holds a lease that is valid by its own clock."""
        return self._held_lease is not None and now < self._valid_until

    def renewal_is_due(self, now):
        """Return whether more than half of the lease's validity has passed."""
        return self._held_lease is not None and now > self._valid_until - self._rules.duration_s / 2

    def may_send_order(self, now, checks_fencing_number):
        """Return whether an order may be sent at ``now``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, read right before the order is sent.
        checks_fencing_number : bool
            Whether the engine rejects a stale fencing number.
        """
        if self._held_lease is None:
            return False
        if now >= self._valid_until - self._rules.order_margin_s:
            return False
        return checks_fencing_number or now >= self._orders_blocked_until

    def released_lease(self, now):
        """Return the lease that releases the current one, or None while it must be kept.

        After a takeover the lease is kept until orders are no longer blocked, because the next
        holder does not wait after a release.
        """
        if self._held_lease is None or now < self._orders_blocked_until:
            return None
        return lease_module.Lease("", self._held_lease.term, self._held_lease.renewal + 1)
