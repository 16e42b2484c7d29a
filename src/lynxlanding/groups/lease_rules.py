"""Durations that prevent two controllers from sending orders at the same time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseRules:
    """Durations of leases and orders, in seconds.

    Parameters
    ----------
    duration_s : float
        Validity of a lease, measured from before its update was sent.
    order_margin_s : float
        Minimum remaining validity for sending an order. It covers the time until an order arrives,
        so it must not be less than the timeout of an order.
    takeover_wait_s : float
        Time that a new holder waits after the expiry of the previous lease before it sends the
        first order to an engine that ignores the fencing number.
    """

    duration_s: float = 10.0
    order_margin_s: float = 3.0
    takeover_wait_s: float = 5.0
