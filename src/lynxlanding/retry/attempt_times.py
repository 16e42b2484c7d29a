"""Expected time of an attempt, by target."""

# The average follows a change of load within some ten attempts and ignores single outliers.
WEIGHT = 0.1
# Targets are configured names; the bound only guards against growth over years of changes.
MAX_TARGETS = 1000


class AttemptTimes:
    """Exponentially weighted moving averages of the time until a response begins."""

    def __init__(self):
        self._averages = {}

    def record(self, target, duration_s):
        """Add the duration of a successful attempt."""
        average = self._averages.pop(target, duration_s)
        self._averages[target] = average + WEIGHT * (duration_s - average)
        if len(self._averages) > MAX_TARGETS:
            del self._averages[next(iter(self._averages))]

    def expected(self, target):
        """Return the expected time in seconds; 0 before the first success."""
        return self._averages.get(target, 0.0)
