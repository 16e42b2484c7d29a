"""Decides from an endpoint's own reports when it is idle."""


class IdleTracker:
    """Second opinion on a leaving endpoint: the endpoint's own count of requests.

    The endpoint counts the requests of every node, also of nodes that do not report. It is idle
    when a report from after the notice time says that nothing is running or queued.

    Parameters
    ----------
    started_at : float
        Monotonic time of the first leaving signal.
    rules : ReleaseRules
        Bounds.
    report_lag_s : float, optional
        Largest lag of the endpoint's reports.
    """

    def __init__(self, started_at, rules, report_lag_s=1.0):
        self._counts_from = started_at + rules.notice_s + report_lag_s
        self._release_at = started_at + rules.notice_s + rules.max_timeout_s
        self._is_idle = False

    def note_report(self, sent_at, requests):
        """Record a report.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the report was requested.
        requests : int
            Running and queued requests.
        """
        if sent_at >= self._counts_from:
            self._is_idle = requests == 0

    def is_released(self, now):
        """Return whether no request can be in flight at monotonic time ``now``."""
        return self._is_idle or now >= self._release_at
