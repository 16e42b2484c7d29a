"""Estimates the part of the time to the first event that the published times omit."""

# Change of the estimate per observation. A fixed step makes the estimate track the median, so a
# few slow engines or a short overload barely affect it.
UPDATE_STEP_S = 0.002
# Engines need about 80 to 110 ms for the first token beyond their published times.
INITIAL_OFFSET_S = 0.08


class FirstEventOffset:
    """Running median of observed minus predicted times, by service and model."""

    def __init__(self):
        self._offsets = {}

    def get(self, service, model):
        """Return the offset in seconds."""
        return self._offsets.get((service, model), INITIAL_OFFSET_S)

    def record(self, service, model, difference_s):
        """Record an observed minus a predicted time, in seconds.

        The predicted time must not include the offset itself.
        """
        previous_s = self.get(service, model)
        updated_s = (
            previous_s + UPDATE_STEP_S if difference_s > previous_s else previous_s - UPDATE_STEP_S
        )
        self._offsets[(service, model)] = max(0.0, updated_s)
