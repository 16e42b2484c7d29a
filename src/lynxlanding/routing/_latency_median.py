"""Running estimate of the typical time to first token."""

# Each observation moves the estimate by 2%, so it follows a change by half within 35 observations.
STEP = 1.02


class TypicalLatency:
    """Median of a stream in constant memory.

    The frugal streaming estimate (Ma, Muthukrishnan and Sandler, 2013) with relative steps: up
    for each larger observation, down for each smaller one. Unlike a mean, it is not moved by the
    stragglers that it is compared with.
    """

    def __init__(self):
        self._seconds = None

    @property
    def seconds(self):
        """Estimated median in seconds; None before the first observation."""
        return self._seconds

    def observe(self, seconds):
        """Take one observation, in seconds."""
        if self._seconds is None:
            self._seconds = max(seconds, 1e-4)
            return
        if seconds > self._seconds:
            self._seconds *= STEP
        elif seconds < self._seconds:
            self._seconds = max(self._seconds / STEP, 1e-4)
