"""Places times of other nodes' monotonic clocks on the clock of this node.

A node reads another node's clock by a request. The reading was made after the request was sent, so
the time of sending bounds from below when the other clock showed the reading. This gives a lower
bound on this node's clock for every time on the other clock, however long a message that carries
the time was delayed, and however often it was repeated or relayed. The same bound underlies the
estimate of Cristian, "Probabilistic clock synchronization" (1989).
"""

import dataclasses

# Crystals differ by less than 100 ppm and are slewed by up to 500 ppm.
MAX_DRIFT = 1e-3
# A mapped time this far in the future shows that this node's clock stood still.
FUTURE_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class _Reading:
    clock: str
    sent_at: float
    remote_at: float


class ClockBounds:
    """Newest reading of the clock of each node."""

    def __init__(self):
        self._readings = {}

    def record(self, node, clock, sent_at, remote_at):
        """Record a reading of another node's clock.

        Parameters
        ----------
        node : str
            The node.
        clock : str
            Identity of its clock, which changes with every start of the node.
        sent_at : float
            Time of this node, in seconds, from before the request was sent.
        remote_at : float
            Time of the other node, in seconds.
        """
        known = self._readings.get(node)
        if known is not None and known.sent_at > sent_at:
            return
        self._readings[node] = _Reading(clock, sent_at, remote_at)

    def earliest(self, node, clock, remote_at, now):
        """Return the earliest time of this node at which the other clock showed ``remote_at``.

        Returns
        -------
        float or None
            None without a reading of this clock, or if the reading contradicts this node's clock.
        """
        reading = self._readings.get(node)
        if reading is None or reading.clock != clock:
            return None
        elapsed = remote_at - reading.remote_at
        local = reading.sent_at + elapsed - abs(elapsed) * MAX_DRIFT
        if local > now + FUTURE_S:
            # The other clock went on while this one stood still; a new reading is needed.
            del self._readings[node]
            return None
        return min(local, now)

    def due(self, nodes, now, interval_s):
        """Return the nodes whose clock was not read within ``interval_s``."""
        due = []
        for node in nodes:
            reading = self._readings.get(node)
            if reading is None or now - reading.sent_at > interval_s:
                due.append(node)
        return due

    def keep(self, nodes):
        """Forget the readings of all nodes but ``nodes``."""
        for node in list(self._readings):
            if node not in nodes:
                del self._readings[node]
