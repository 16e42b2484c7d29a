"""Load permits of the weight store."""

# A permit that was obtained but not used is not used later than this: the weight store may count
# it as ended.
PERMIT_LIFETIME_S = 30.0
# Spread of retries over many nodes, relative to the retry time that the weight store asked for.
JITTER = 0.5


class PermitQueue:
    """Decides for which load orders a permit is requested, and when.

    Orders keep their sequence: the first ones complete a group before the next group begins.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Spreads the retries of different nodes.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        self._granted_at = {}
        self._not_before = {}

    def split(self, orders, now):
        """Separate orders that have a permit from those for which to request one.

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
        """Return whether no denial for the model has arrived since ``split``."""
        return now >= self._not_before.get(order.model, 0.0)

    def note_granted(self, order, now):
        """Record a permit."""
        self._granted_at[order.key] = now

    def note_denied(self, order, retry_after_s, now):
        """Record a denial; it holds for all orders of the model."""
        delay_s = retry_after_s * (1.0 + JITTER * float(self._random_state.random()))
        self._not_before[order.model] = now + delay_s

    def note_used(self, order):
        """Record that the engine accepted the order."""
        self._granted_at.pop(order.key, None)
