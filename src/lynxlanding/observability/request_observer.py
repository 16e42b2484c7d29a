"""Passes the summary of each finished request to the metrics, burn counts and log."""

import time

from lynxlanding.observability import request_timer


class RequestObserver:
    """Creates a timer for each request and reports its summary when the request ends.

    Parameters
    ----------
    metrics : DaemonMetrics
        Metrics of the node.
    burn_actor : BurnActor proxy
        Updates the burn counts asynchronously.
    logs : module or object
        Provides ``log_request``.
    gap_threshold_s : float
        Threshold of the objective for the time between tokens; longer gaps count as slow.
    """

    def __init__(self, metrics, burn_actor, logs, gap_threshold_s):
        self._metrics = metrics
        self._burn_actor = burn_actor
        self._logs = logs
        self._gap_threshold_s = gap_threshold_s

    def begin(self, request_id):
        """Return a timer for a request that has just arrived."""
        return request_timer.RequestTimer(request_id, time.monotonic(), self._gap_threshold_s)

    def end(self, timer, result, error_type="", executed=""):
        """Count and log a request that has just ended.

        Only the first call for a timer has an effect.
        """
        if timer.is_finished:
            return
        summary = timer.finish(result, time.monotonic(), error_type, executed)
        self._metrics.record_request(summary)
        # The actor processes the message asynchronously, so that the request doesn't wait for it.
        self._burn_actor.record_request(summary, time.time())
        self._logs.log_request(summary)
