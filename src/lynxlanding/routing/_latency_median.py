"""Running estimate of the median time to first token."""

# Each observation moves the estimate by 2%, so 35 observations are enough to double or halve it.
RELATIVE_STEP = 1.02


class LatencyMedian:
    """Streaming estimate of a median in constant memory.

    Frugal streaming (Ma, Muthukrishnan and Sandler, 2013) with relative steps: each larger
    observation increases the estimate and each smaller one decreases it. The estimate does not
    fall below 0.1 ms, because relative steps could not leave zero. Unlike a mean, a median is
    hardly influenced by the stragglers that are compared with it.
    """

    def __init__(self):
        self._seconds = None

    @property
    def seconds(self):
        """Estimated median in seconds; None before the first observation."""
        return self._seconds

    def observe(self, seconds):
        """Update the estimate with one observation, in seconds."""
        if self._seconds is None:
            self._seconds = max(seconds, 1e-4)
            return
        if seconds > self._seconds:
            self._seconds *= RELATIVE_STEP
        elif seconds < self._seconds:
            self._seconds = max(self._seconds / RELATIVE_STEP, 1e-4)
