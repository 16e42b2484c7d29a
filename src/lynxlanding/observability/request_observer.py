"""Passes the summary of each finished request to metrics, burn counts and the log."""

import time

from lynxlanding.observability import request_timer


class RequestObserver:
    """Starts a timer for each request and distributes its summary.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the node.
    burn_actor : BurnActor proxy
        Owner of the burn counts.
    logs : module or object
        Offers ``log_request``.
    gap_threshold_s : float
        Threshold of the objective for the time between tokens.
    """

    def __init__(self, metrics, burn_actor, logs, gap_threshold_s):
        self._metrics = metrics
        self._burn_actor = burn_actor
        self._logs = logs
        self._gap_threshold_s = gap_threshold_s

    def begin(self, request_id):
        """Return a timer for a request that arrives now."""
        return request_timer.RequestTimer(request_id, time.monotonic(), self._gap_threshold_s)

    def end(self, timer, result, error_type="", executed=""):
        """Count and log a request that ends now; only the first call for a timer counts."""
        if timer.is_finished:
            return
        summary = timer.finish(result, time.monotonic(), error_type, executed)
        self._metrics.record_request(summary)
        # The actor counts on its own time; a request does not wait for it.
        self._burn_actor.record_request(summary, time.time())
        self._logs.log_request(summary)
