"""Learns the part of the time to the first event that the published times leave out."""

# One observation moves the estimate by this much, towards the median: single slow engines and
# short overloads hardly move it.
STEP_S = 0.002
# Engines take some 80 to 110 ms for the first token beyond what they publish.
INITIAL_S = 0.08


class FirstEventOffset:
    """Median difference between observed and predicted times, by service and model."""

    def __init__(self):
        self._offsets = {}

    def get(self, service, model):
        """Return the offset in seconds."""
        return self._offsets.get((service, model), INITIAL_S)

    def note(self, service, model, difference_s):
        """Record an observed minus a predicted time, in seconds, without the offset."""
        known = self.get(service, model)
        moved = known + STEP_S if difference_s > known else known - STEP_S
        self._offsets[(service, model)] = max(0.0, moved)
