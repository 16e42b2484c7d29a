"""Running estimate of the median time to first token."""

# Each observation moves the estimate by 2%, so 35 observations are enough to double or halve it.
STEP_FACTOR = 1.02


class LatencyMedian:
    """Median of a stream in constant memory.

    The frugal streaming estimate (Ma, Muthukrishnan and Sandler, 2013) with relative steps: up
    for each larger observation, down for each smaller one, but not below 0.1 ms, because relative
    steps cannot leave zero. Unlike a mean, it is hardly influenced by the stragglers that are
    compared with it.
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
            self._seconds *= STEP_FACTOR
        elif seconds < self._seconds:
            self._seconds = max(self._seconds / STEP_FACTOR, 1e-4)
