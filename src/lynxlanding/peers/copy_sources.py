"""Which node to ask for a newer configuration."""

import math

# Nodes that are remembered to have a newer configuration; enough to find one that is not busy.
MAX_HOLDERS = 64
# Pauses before a node is asked again: one that serves others, one that had nothing newer although
# it was said to, and one that did not answer or sent what cannot be used.
BUSY_PAUSE_S = 0.05
UNCHANGED_PAUSE_S = 0.5
FAILURE_PAUSE_S = 2.0


class CopySources:
    """Nodes that are known to have newer configurations; performs no I/O.

    Parameters
    ----------
    random_state : random.Random
        Spreads the nodes that ask over those that can be asked.
    """

    def __init__(self, random_state):
        self._random_state = random_state
        # Number of the configuration by address.
        self._holders = {}
        self._ask_at = {}

    def record_holder(self, address, number):
        """Record that the node at an address has the configuration with a number, or a later one.

        Parameters
        ----------
        address : str
            ``host:port`` at which the node serves other nodes.
        number : int
            Number of the configuration; later ones have higher numbers.
        """
        known = self._holders.pop(address, 0)
        self._holders[address] = max(known, number)
        if len(self._holders) > MAX_HOLDERS:
            self._forget(next(iter(self._holders)))

    def record_busy(self, address, now):
        """Record that a node serves others now."""
        self._ask_at[address] = now + self._random_state.uniform(0.5, 1.5) * BUSY_PAUSE_S

    def record_unchanged(self, address, now):
        """Record that a node has nothing newer."""
        self._ask_at[address] = now + UNCHANGED_PAUSE_S

    def record_failure(self, address, now):
        """Record that a node did not answer, or sent what cannot be used."""
        self._ask_at[address] = now + FAILURE_PAUSE_S

    def choose(self, own_number, now):
        """Return the address of a node to ask, or None if there is none now.

        Parameters
        ----------
        own_number : int
            Number of this node's configuration; 0 if it has none.
        now : float
            Monotonic seconds.
        """
        found = []
        for address, number in list(self._holders.items()):
            if number <= own_number:
                self._forget(address)
                continue
            if now >= self._ask_at.get(address, -math.inf):
                found.append(address)
        return self._random_state.choice(found) if found else None

    def number_of(self, address):
        """Return the number that a node is known to have; 0 if it is none of the holders."""
        return self._holders.get(address, 0)

    def is_behind(self, own_number):
        """Return whether a node is known to have a newer configuration."""
        return any(number > own_number for number in list(self._holders.values()))

    def _forget(self, address):
        self._holders.pop(address, None)
        self._ask_at.pop(address, None)
