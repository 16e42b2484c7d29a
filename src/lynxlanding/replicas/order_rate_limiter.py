"""Bounds how often orders are repeated and how many loads begin."""

import collections

# An engine shows the effect of an order in its registration within some ten milliseconds.
REPEAT_S = 0.8
# A stage order shows its effect only when the load has ended.
STAGE_REPEAT_FACTOR = 1.5
# Part of the time of a load that it takes before any request has arrived.
STARTING_LOAD_PART = 0.1
FORGET_S = 120.0
# Part of the weight store's limit that is used; a load that is ordered can begin later than that.
USED_PART = 0.8


class OrderRateLimiter:
    """Remembers the orders of one node.

    Parameters
    ----------
    window_s : float
        Window of the limit on loads, in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._sent = {}
        self._loads = collections.deque()

    def is_due(self, order, repeat_s, now):
        """Return whether an order was not sent within the last ``repeat_s`` seconds."""
        sent_at = self._sent.get(order)
        return sent_at is None or now - sent_at >= repeat_s

    def may_load(self, loads_per_s, part, now):
        """Return whether another load may begin while callers are served.

        Parameters
        ----------
        loads_per_s : float
            Limit of the weight store for the whole fleet.
        part : float
            Part of the limit that this node uses.
        """
        while self._loads and self._loads[0] <= now - self._window_s:
            self._loads.popleft()
        allowed = loads_per_s * self._window_s * part * USED_PART
        return len(self._loads) < max(1, int(allowed))

    def note_sent(self, order, is_load, now):
        """Record an order that is being sent."""
        self._sent[order] = now
        if is_load:
            self._loads.append(now)

    def forget_old(self, now):
        """Forget orders that have not been sent for a while."""
        for order, sent_at in list(self._sent.items()):
            if now - sent_at > FORGET_S:
                del self._sent[order]
