"""Running estimate of the time that an admitted request takes."""

import math

INITIAL_S = 1.0

# Completions that the estimate remembers: enough that single long requests move it little, and
# twice the requests in flight, so that a stall shows within about its own duration.
MIN_COMPLETIONS = 16.0
COMPLETIONS_PER_REQUEST = 2.0

# 98% of exponentially distributed times are below the mean plus three standard deviations. With
# two, the waiting requests that time out cost 3% of the goodput at twice the capacity.
LIKELY_DEVIATIONS = 3.0


class ServiceTimeEstimate:
    """Mean and deviation of the time from admission to completion.

    By Little's law the mean is the time integral of the requests in flight divided by the
    completions. Both fade with each completion, not with time: the estimate survives idle periods,
    and it rises while nothing completes, unlike a mean over completed requests.

    Parameters
    ----------
    initial_s : float, optional
        Estimate before the first completion, in seconds.
    """

    def __init__(self, initial_s=INITIAL_S):
        self._busy_s = MIN_COMPLETIONS * initial_s
        self._completions = MIN_COMPLETIONS
        self._advanced_at = None
        self._mean_s = initial_s
        self._variance = 0.0

    @property
    def seconds(self):
        """Estimated mean in seconds."""
        return self._busy_s / self._completions

    @property
    def likely_s(self):
        """Time within which a request most likely completes, in seconds."""
        return self.seconds + LIKELY_DEVIATIONS * math.sqrt(self._variance)

    def advance(self, in_flight, now):
        """Account for the time since the last call, with ``in_flight`` requests in flight."""
        if self._advanced_at is not None and now > self._advanced_at:
            self._busy_s += in_flight * (now - self._advanced_at)
        self._advanced_at = now

    def complete(self, in_flight, seconds):
        """Count a completion of one of ``in_flight`` requests that took ``seconds``."""
        memory = max(MIN_COMPLETIONS, COMPLETIONS_PER_REQUEST * in_flight)
        self._completions += 1.0
        if self._completions > memory:
            self._busy_s *= memory / self._completions
            self._completions = memory
        # Exponentially weighted mean and variance (West, 1979).
        difference = seconds - self._mean_s
        self._mean_s += difference / memory
        self._variance = (1.0 - 1.0 / memory) * (self._variance + difference**2 / memory)
