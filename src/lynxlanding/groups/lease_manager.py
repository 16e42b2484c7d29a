"""One node's view of a domain's lease.

Leases with a holder, a term used as fencing number, and validity counted from before the request
was sent follow Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed
file cache consistency" (SOSP 1989).
"""

from lynxlanding.groups import lease as lease_module


class LeaseKeeper:
    """Decides when this node may take the lease, and when it may send orders.

    Parameters
    ----------
    holder : str
        Node and incarnation. A restarted node is another holder, since it does not know which
        orders its earlier incarnation has sent.
    rules : LeaseRules
        Durations.
    """

    def __init__(self, holder, rules):
        self._holder = holder
        self._rules = rules
        self._observed = None
        self._observed_at = 0.0
        self._pending = None
        self._pending_sent_at = 0.0
        self._held = None
        self._valid_until = 0.0
        self._quiet_until = 0.0

    @property
    def holder(self):
        """Node and incarnation for which this keeper acts."""
        return self._holder

    @property
    def term(self):
        """Term of the lease that this node holds, or 0."""
        return self._held.term if self._held is not None else 0

    def observe(self, lease, now):
        """Record the lease of a domain object that was read from the store.

        Parameters
        ----------
        lease : Lease
            Lease in the object.
        now : float
            Monotonic time after the read.
        """
        if self._pending is not None and lease == self._pending:
            self.confirm()
        if lease != self._observed:
            self._observed = lease
            self._observed_at = now
        if self._held is not None and (lease.holder, lease.term) != (
            self._held.holder,
            self._held.term,
        ):
            self._held = None

    def next_lease(self, now):
        """Return the lease to write, or None while another holder's lease may be valid."""
        observed = self._observed or lease_module.Lease()
        if observed.holder == self._holder:
            return lease_module.Lease(self._holder, observed.term, observed.renewal + 1)
        if observed.is_free or now - self._observed_at >= self._rules.duration_s:
            return lease_module.Lease(self._holder, observed.term + 1, 0)
        return None

    def begin_update(self, lease, now):
        """Record that an update with ``lease`` is about to be sent."""
        earlier = self._observed
        self._pending = lease
        self._pending_sent_at = now
        if lease.holder != self._holder:
            # A release may take effect even if its response is lost, so no order follows it.
            self._held = None
        if earlier is None or earlier.holder in ("", self._holder):
            return
        # The earlier holder may believe in its lease until ``duration_s`` after its last renewal,
        # which this node has seen at ``_observed_at`` at the earliest.
        quiet_s = self._rules.duration_s + self._rules.takeover_wait_s
        self._quiet_until = max(self._quiet_until, self._observed_at + quiet_s)

    def confirm(self):
        """Record that the pending update took effect."""
        pending = self._pending
        if pending is None:
            return
        self._pending = None
        self._observed = pending
        self._observed_at = self._pending_sent_at
        if pending.holder != self._holder:
            self._held = None
            return
        self._held = pending
        self._valid_until = self._pending_sent_at + self._rules.duration_s

    def forget(self):
        """Record that the pending update was refused."""
        self._pending = None

    def holds(self, now):
        """Return whether this node's lease is valid by its own clock."""
        return self._held is not None and now < self._valid_until

    def renewal_is_due(self, now):
        """Return whether half of the validity has passed."""
        return self._held is not None and now > self._valid_until - self._rules.duration_s / 2

    def may_order(self, now, checks_fencing_number):
        """Return whether an order may be sent at ``now``.

        Parameters
        ----------
        now : float
            Monotonic time, read right before the order is sent.
        checks_fencing_number : bool
            Whether the engine rejects a stale fencing number by itself.
        """
        if self._held is None:
            return False
        if now >= self._valid_until - self._rules.order_margin_s:
            return False
        return checks_fencing_number or now >= self._quiet_until

    def released_lease(self, now):
        """Return the lease to write when this node has no more work, or None.

        A lease that was taken over is kept until the wait has passed, because the next holder
        does not wait after a release.
        """
        if self._held is None or now < self._quiet_until:
            return None
        return lease_module.Lease("", self._held.term, self._held.renewal + 1)
