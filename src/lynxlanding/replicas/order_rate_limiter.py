"""Limits how often orders are resent and how many weight loads are started."""

import collections

# The effect of an order shows in the engine's registration within tens of milliseconds.
RESEND_INTERVAL_S = 0.8
# The effect of a stage order shows only after the load; this is a multiple of the load time.
STAGE_RESEND_FACTOR = 1.5
# Loads are faster before the first request has arrived: they take this share of the load time.
LOAD_TIME_SHARE_BEFORE_TRAFFIC = 0.1
ORDER_RETENTION_S = 120.0
# Share of the weight store's limit that is used. An engine can start a load some time after the
# order, so that loads of two windows can coincide.
USED_LIMIT_SHARE = 0.8


class OrderRateLimiter:
    """Rate limiter for the orders that one node sends.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in which loads are counted, in seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._sent = {}
        self._loads = collections.deque()

    def is_due(self, order, resend_interval_s, now):
        """Return whether an order was not sent in the last ``resend_interval_s`` seconds."""
        sent_at = self._sent.get(order)
        return sent_at is None or now - sent_at >= resend_interval_s

    def allows_load(self, loads_per_s, limit_share, now):
        """Return whether another load may start while requests are being served.

        Parameters
        ----------
        loads_per_s : float
            Load starts per second that the weight store allows the whole fleet.
        limit_share : float
            Share of that limit available to this node.
        now : float
            Monotonic seconds.
        """
        while self._loads and self._loads[0] <= now - self._window_s:
            self._loads.popleft()
        allowed = loads_per_s * self._window_s * limit_share * USED_LIMIT_SHARE
        return len(self._loads) < max(1, int(allowed))

    def record_sent(self, order, is_load, now):
        """Record that an order is being sent; ``is_load`` if it starts a weight load."""
        self._sent[order] = now
        if is_load:
            self._loads.append(now)

    def remove_expired(self, now):
        """Remove orders that were last sent more than ``ORDER_RETENTION_S`` ago."""
        for order, sent_at in list(self._sent.items()):
            if now - sent_at > ORDER_RETENTION_S:
                del self._sent[order]
