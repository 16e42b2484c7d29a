"""Whether a node passes its configuration on to another one now."""

import collections
import math

# Rate at which a copy is taken to leave: that of a link of 10 Mbit/s.
LINK_BYTES_PER_S = 1.25e6
# A copy also costs the processor some time, however small it is.
MIN_TRANSFER_S = 0.02
# Nodes that are named to one that has to ask elsewhere.
MAX_HINTS = 8


class CopyOffers:
    """Bounds the copies of the configuration that a node sends; performs no I/O.

    Copies leave one after the other. A node that asks meanwhile is told which others have got one,
    so that the number of nodes that send doubles with each copy.
    """

    def __init__(self):
        self._busy_until = -math.inf
        self._number = 0
        self._receivers = collections.deque(maxlen=MAX_HINTS)

    def admit(self, number, size, address, now):
        """Return whether a copy is sent to a node now; if so, count it.

        Parameters
        ----------
        number : int
            Number of the configuration.
        size : int
            Size of the encoded copy in bytes.
        address : str
            ``host:port`` at which the receiver serves other nodes; empty if it does not.
        now : float
            Monotonic seconds.
        """
        if number != self._number:
            self._number = number
            self._receivers.clear()
        if now < self._busy_until:
            return False
        self._busy_until = now + max(MIN_TRANSFER_S, size / LINK_BYTES_PER_S)
        if address and address not in self._receivers:
            self._receivers.append(address)
        return True

    def receivers(self, address):
        """Return the addresses of nodes other than ``address`` that have got the last number."""
        return [receiver for receiver in self._receivers if receiver != address]
