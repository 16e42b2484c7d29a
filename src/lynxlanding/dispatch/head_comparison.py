"""The best of the heads that could serve a request."""


class HeadComparison:
    """Keeps the cheapest decision, and the cheapest one at a head with a free slot.

    Parameters
    ----------
    slots : int
        Requests that a group works on at once.
    """

    def __init__(self, slots):
        self._slots = slots
        self._best = None
        self._best_cost = 0.0
        self._best_with_free_slot = None
        self._cost_with_free_slot = 0.0

    @property
    def best(self):
        """The cheapest ``Send``, or None."""
        return self._best

    @property
    def best_with_free_slot(self):
        """The cheapest ``Send`` to a head with a free slot, or None."""
        return self._best_with_free_slot

    @property
    def has_free_slot(self):
        """Whether one of the heads has a free slot."""
        return self._best_with_free_slot is not None

    def is_better(self, load, cost):
        """Return whether a head with this load and cost would be kept."""
        return self._is_best(cost) or self._is_best_with_free_slot(load, cost)

    def add(self, decision, cost):
        """Add a ``Send`` with its cost."""
        if self._is_best(cost):
            self._best = decision
            self._best_cost = cost
        if self._is_best_with_free_slot(decision.load, cost):
            self._best_with_free_slot = decision
            self._cost_with_free_slot = cost

    def _is_best(self, cost):
        return self._best is None or cost < self._best_cost

    def _is_best_with_free_slot(self, load, cost):
        if load >= self._slots:
            return False
        return self._best_with_free_slot is None or cost < self._cost_with_free_slot
