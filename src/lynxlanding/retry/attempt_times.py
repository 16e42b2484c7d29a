"""Expected duration of an attempt, by target."""

# Weight of a new value. The average follows a change of load within about ten attempts and is
# hardly affected by single outliers.
SMOOTHING_FACTOR = 0.1
# Targets are configured names, so the limit only prevents growth over years of configuration
# changes.
MAX_TARGETS = 1000


class AttemptTimes:
    """Exponentially weighted moving averages of the time until a response begins."""

    def __init__(self):
        self._averages = {}

    def record(self, target, duration_s):
        """Add the duration of a successful attempt."""
        # Removing and reinserting the target keeps the least recently updated one first.
        average = self._averages.pop(target, duration_s)
        self._averages[target] = average + SMOOTHING_FACTOR * (duration_s - average)
        if len(self._averages) > MAX_TARGETS:
            del self._averages[next(iter(self._averages))]

    def expected(self, target):
        """Return the expected time in seconds; 0 before the first success."""
        return self._averages.get(target, 0.0)
