"""Measures the demand of callers by model."""

import math

# Time constant of the moving average: shorter than most bursts, longer than the usual gap between
# two requests.
TIME_CONSTANT_S = 4.0


class DemandMeter:
    """Exponentially weighted moving average of the offered load, in groups.

    One unit is the work that keeps a group fully busy. Refused requests count too, because the
    result shows the capacity that would be needed to serve them.

    Parameters
    ----------
    time_constant_s : float, optional
        Time constant of the average, in seconds.
    """

    def __init__(self, time_constant_s=TIME_CONSTANT_S):
        self._time_constant_s = time_constant_s
        self._rates = {}

    def add(self, model, group_s, now):
        """Count a request that keeps a whole group busy for ``group_s`` seconds."""
        rate, updated_at = self._rates.get(model, (0.0, now))
        rate *= math.exp(-(now - updated_at) / self._time_constant_s)
        self._rates[model] = (rate + group_s / self._time_constant_s, now)

    def busy_groups(self, now):
        """Return the mean number of groups that the demand keeps busy, by model."""
        groups = {}
        for model, (rate, updated_at) in self._rates.items():
            groups[model] = rate * math.exp(-(now - updated_at) / self._time_constant_s)
        return groups
