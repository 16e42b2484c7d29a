"""Load permits granted by the weight store."""

# An unused permit is dropped after this time, because the weight store may consider it expired.
PERMIT_LIFETIME_S = 30.0
# Maximum random increase of the retry delay requested by the weight store, as a fraction of it. It
# spreads the retries of many nodes.
JITTER = 0.5


class PermitTracker:
    """Decides for which load orders a permit is requested, and when.

    The sequence of orders is preserved, so that one group is completed before the next one starts.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Source of the jitter of retries.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        self._granted_at = {}
        self._not_before = {}

    def split_by_permit(self, orders, now):
        """Split orders into those with a permit and those for which to request one.

        Parameters
        ----------
        orders : list of EngineOrder
            Orders that are due.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        ready : list of EngineOrder
            Orders with a valid permit.
        to_request : list of EngineOrder
            Orders for which a permit may be requested now.
        """
        ready = []
        to_request = []
        for order in orders:
            granted_at = self._granted_at.get(order.key)
            if granted_at is not None and now - granted_at <= PERMIT_LIFETIME_S:
                ready.append(order)
                continue
            if now >= self._not_before.get(order.model, 0.0):
                to_request.append(order)
        return ready, to_request

    def may_request(self, order, now):
        """Return whether a permit for the order's model may be requested now.

        Checked again after ``split_by_permit``, since another order of the model may have been
        denied.
        """
        return now >= self._not_before.get(order.model, 0.0)

    def record_granted(self, order, now):
        """Record a granted permit."""
        self._granted_at[order.key] = now

    def record_denied(self, order, retry_after_s, now):
        """Record a denial, which applies to all orders of the model."""
        delay_s = retry_after_s * (1.0 + JITTER * float(self._random_state.random()))
        self._not_before[order.model] = now + delay_s

    def record_used(self, order):
        """Record that the engine accepted the order and the permit is used up."""
        self._granted_at.pop(order.key, None)
