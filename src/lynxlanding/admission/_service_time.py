"""Running estimate of the service time of admitted requests."""

import math

INITIAL_MEAN_S = 1.0

# Number of completions over which the estimate is averaged: large enough that a single long request
# changes it little, and twice the requests in flight, so that a stall shows within about its own
# duration.
MIN_COMPLETIONS = 16.0
COMPLETIONS_PER_IN_FLIGHT = 2.0

# 98% of exponentially distributed times are below the mean plus three standard deviations. With
# two, queued requests that time out cost 3% of the goodput at twice the capacity.
UPPER_BOUND_DEVIATIONS = 3.0


class ServiceTimeEstimator:
    """Estimates mean and standard deviation of the time from admission to completion.

    By Little's law, the mean is the time integral of the number of requests in flight divided by
    the number of completions. Both decay with each completion rather than with time: the estimate
    is kept over idle periods and rises while nothing completes, which a mean over completed
    requests does not.

    Parameters
    ----------
    initial_mean_s : float, optional
        Estimate before the first completion, in seconds.
    """

    def __init__(self, initial_mean_s=INITIAL_MEAN_S):
        self._in_flight_s = MIN_COMPLETIONS * initial_mean_s
        self._completions = MIN_COMPLETIONS
        self._advanced_at = None
        self._completed_mean_s = initial_mean_s
        self._completed_variance = 0.0

    @property
    def mean_s(self):
        """Estimated mean, in seconds."""
        return self._in_flight_s / self._completions

    @property
    def upper_bound_s(self):
        """Time within which a request most likely completes, in seconds."""
        return self.mean_s + UPPER_BOUND_DEVIATIONS * math.sqrt(self._completed_variance)

    def advance(self, in_flight, now):
        """Account for the time since the last call, with ``in_flight`` requests in flight."""
        if self._advanced_at is not None and now > self._advanced_at:
            self._in_flight_s += in_flight * (now - self._advanced_at)
        self._advanced_at = now

    def record_completion(self, in_flight, duration_s):
        """Record that one of ``in_flight`` requests completed after ``duration_s`` seconds."""
        max_completions = max(MIN_COMPLETIONS, COMPLETIONS_PER_IN_FLIGHT * in_flight)
        self._completions += 1.0
        if self._completions > max_completions:
            self._in_flight_s *= max_completions / self._completions
            self._completions = max_completions
        # Exponentially weighted mean and variance (West, 1979).
        deviation = duration_s - self._completed_mean_s
        self._completed_mean_s += deviation / max_completions
        self._completed_variance = (1.0 - 1.0 / max_completions) * (
            self._completed_variance + deviation**2 / max_completions
        )
