"""Converts times of other nodes' monotonic clocks to the clock of this node.

A node reads another node's clock with a request. The clock was read after the request was sent, so
the local send time is a lower bound on the local time of the reading. From it follows a lower bound
on the local time for every time of the other clock, regardless of how long the message that carries
the time was delayed and of how often it was repeated or relayed. The estimate of Cristian,
"Probabilistic clock synchronization" (1989), uses the same bound.
"""

import dataclasses

# Crystals differ by less than 100 ppm and are slewed by up to 500 ppm.
MAX_DRIFT = 1e-3
# A converted time further in the future than this shows that the local clock was stopped.
MAX_FUTURE_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class _Reading:
    clock: str
    sent_at: float
    remote_at: float


class ClockBounds:
    """Newest clock reading of each node."""

    def __init__(self):
        self._readings = {}

    def record(self, node, clock, sent_at, remote_at):
        """Record a reading of another node's clock.

        Parameters
        ----------
        node : str
            Name of the other node.
        clock : str
            Identity of its clock, which changes with every start of the node.
        sent_at : float
            Local time before the request was sent, in seconds.
        remote_at : float
            Time of the other clock, in seconds.
        """
        known = self._readings.get(node)
        if known is not None and known.sent_at > sent_at:
            return
        self._readings[node] = _Reading(clock, sent_at, remote_at)

    def earliest_local_time(self, node, clock, remote_at, now):
        """Return the earliest local time at which the other clock may have shown ``remote_at``.

        Returns
        -------
        float or None
            None if this clock was not read, or if the reading contradicts the local clock.
        """
        reading = self._readings.get(node)
        if reading is None or reading.clock != clock:
            return None
        elapsed = remote_at - reading.remote_at
        local = reading.sent_at + elapsed - abs(elapsed) * MAX_DRIFT
        if local > now + MAX_FUTURE_S:
            # The other clock ran on while the local clock was stopped; it must be read again.
            del self._readings[node]
            return None
        return min(local, now)

    def due_nodes(self, nodes, now, interval_s):
        """Return the nodes whose clock was not read within ``interval_s``."""
        due = []
        for node in nodes:
            reading = self._readings.get(node)
            if reading is None or now - reading.sent_at > interval_s:
                due.append(node)
        return due

    def retain(self, nodes):
        """Remove the readings of all nodes except ``nodes``."""
        for node in list(self._readings):
            if node not in nodes:
                del self._readings[node]
