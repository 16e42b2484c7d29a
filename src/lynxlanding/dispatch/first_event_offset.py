"""Estimates the part of the time to the first event that the published times omit."""

# Change of the estimate per observation. A fixed step makes the estimate track the median, so a
# few slow engines or a short overload barely affect it.
UPDATE_STEP_S = 0.002
# The first step. The next ones fall as one over the number of observations, down to the fixed step:
# until the estimate is right, engines in use look faster than idle ones.
FIRST_STEP_S = 0.02
# Engines need about 80 to 110 ms for the first token beyond their published times.
INITIAL_OFFSET_S = 0.08


class FirstEventOffset:
    """Running median of observed minus predicted times, by service and model."""

    def __init__(self):
        self._offsets = {}
        # Numbers of observations.
        self._counts = {}

    def get(self, service, model):
        """Return the offset in seconds."""
        return self._offsets.get((service, model), INITIAL_OFFSET_S)

    def record(self, service, model, difference_s):
        """Record an observed minus a predicted time, in seconds.

        The predicted time must not include the offset itself.
        """
        key = (service, model)
        previous_s = self.get(service, model)
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        step_s = max(UPDATE_STEP_S, FIRST_STEP_S / count)
        updated_s = previous_s + step_s if difference_s > previous_s else previous_s - step_s
        self._offsets[key] = max(0.0, updated_s)
