"""Durations that keep the orders of two controllers apart."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRules:
    """Durations of leases and orders, in seconds.

    Parameters
    ----------
    duration_s : float
        Validity of a lease, counted from before its update was sent.
    order_margin_s : float
        No order is sent when less validity than this is left. It covers the time that an order
        may be under way, so it must not be below the timeout of an order.
    takeover_wait_s : float
        Further wait of a new holder after the earlier lease has run out, before its first order
        to engines that ignore the fencing number.
    """

    duration_s: float = 10.0
    order_margin_s: float = 3.0
    takeover_wait_s: float = 5.0
