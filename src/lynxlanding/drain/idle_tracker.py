"""Decides from a leaving endpoint's own reports when it can be released."""


class IdleTracker:
    """Tracks whether a leaving endpoint is idle by the endpoint's own request count.

    The count includes the requests of every node, even of nodes that do not report their own. The
    endpoint is idle once a report requested after all nodes have stopped sending counts no running
    and no queued request.

    Parameters
    ----------
    started_at : float
        Monotonic time of the first leaving signal.
    rules : ReleaseRules
        Time limits.
    report_lag_s : float, optional
        Maximum age of the count in a report.
    """

    def __init__(self, started_at, rules, report_lag_s=1.0):
        self._reports_valid_from = started_at + rules.propagation_s + report_lag_s
        self._release_at = started_at + rules.propagation_s + rules.max_timeout_s
        self._is_idle = False

    def record_report(self, sent_at, requests):
        """Record a report; reports requested too early are ignored.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the report was requested.
        requests : int
            Number of running and queued requests.
        """
        if sent_at >= self._reports_valid_from:
            self._is_idle = requests == 0

    def is_released(self, now):
        """Return whether no request can still be in flight at monotonic time ``now``."""
        return self._is_idle or now >= self._release_at
