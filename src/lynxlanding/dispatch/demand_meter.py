"""Measures the work that callers ask for, by model."""

import math

# Time constant of the average; shorter than most bursts, longer than the gaps between requests.
TIME_CONSTANT_S = 4.0


class WorkMeter:
    """Exponentially weighted rate of work, in seconds of a whole group for each second.

    Refused requests count too: they show what would be needed.
    """

    def __init__(self):
        self._rates = {}

    def add(self, model, group_s, now):
        """Count a request that keeps a group busy for ``group_s`` seconds."""
        rate, at = self._rates.get(model, (0.0, now))
        rate *= math.exp(-(now - at) / TIME_CONSTANT_S)
        self._rates[model] = (rate + group_s / TIME_CONSTANT_S, now)

    def busy_groups(self, now):
        """Return the groups that the work keeps busy, by model."""
        groups = {}
        for model, (rate, at) in self._rates.items():
            groups[model] = rate * math.exp(-(now - at) / TIME_CONSTANT_S)
        return groups
