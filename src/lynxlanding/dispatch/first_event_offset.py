"""Learns the part of the time to the first event that the published times leave out."""

# Weight of a new observation in the average.
WEIGHT = 0.05
# Engines take some 80 to 110 ms for the first token beyond what they publish.
INITIAL_S = 0.08
# A single late event says little about the constant part.
MAX_S = 0.5


class FirstEventOffset:
    """Average difference between observed and predicted times, by service and model."""

    def __init__(self):
        self._offsets = {}

    def get(self, service, model):
        """Return the offset in seconds."""
        return self._offsets.get((service, model), INITIAL_S)

    def note(self, service, model, difference_s):
        """Record an observed minus a predicted time, in seconds, without the offset."""
        known = self.get(service, model)
        bounded = min(MAX_S, max(0.0, difference_s))
        self._offsets[(service, model)] = known + WEIGHT * (bounded - known)
