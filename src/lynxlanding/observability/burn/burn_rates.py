"""Burn rates and remaining error budgets.

The burn rate over a window is the share of bad events divided by the share that the objective
allows. At a burn rate of 1, the budget lasts exactly for the period. Windows and thresholds of
the alerts follow "The Site Reliability Workbook" (Beyer et al., 2018), chapter 5.
"""

from lynxlanding.observability.burn import objectives

PERIOD_S = 2_592_000
# Window length -> bucket length of the tier that covers it, in seconds.
WINDOWS = {300: 60, 3600: 60, 21_600: 600, 259_200: 7200}
PERIOD_BUCKET_S = 86_400
# (short window, long window, burn rate that both must reach, alert), most urgent first.
# Windows are in seconds.
ALERTS = (
    (300, 3600, 14.4, "page"),
    (3600, 21_600, 6.0, "page"),
    (21_600, 259_200, 1.0, "ticket"),
)
SCOPES = ("service", "workspace", "place")
_OBJECTIVE_ORDER = (
    objectives.WHOLE_ANSWER,
    objectives.FIRST_TOKEN,
    objectives.TOKEN_INTERVAL,
    objectives.GROUP_DOWNTIME,
    objectives.STRANDED,
)


def calculate(counts, targets, now):
    """Return one row for each objective, scope and name with counts.

    A window starts at the beginning of its oldest bucket, so it is up to one bucket longer than
    its nominal length. Buckets that begin after ``now``, from nodes whose clocks run ahead, are
    left out.

    Parameters
    ----------
    counts : BurnCounts or BurnTotals
        Counts of all nodes.
    targets : dict of str to float
        Target share of good events by objective.
    now : float
        Seconds since the epoch.

    Returns
    -------
    list of dict
        JSON values; ``burn`` is None for a window without events.
    """
    rows = []
    for key in sorted(counts.keys(), key=_sort_key):
        objective, scope, name = key
        if objective not in targets:
            continue
        allowed_share = 1.0 - targets[objective]
        burn = {}
        for window_s, bucket_s in WINDOWS.items():
            good, bad = _sum_window(counts, key, bucket_s, window_s, now)
            burn[window_s] = _burn_rate(good, bad, allowed_share)
        good, bad = _sum_window(counts, key, PERIOD_BUCKET_S, PERIOD_S, now)
        budget = (good + bad) * allowed_share
        rows.append(
            {
                "objective": objective,
                "scope": scope,
                "name": name,
                "target": targets[objective],
                "good": good,
                "bad": bad,
                "budget_left": 1.0 - bad / budget if budget else None,
                "burn": {str(window_s): value for window_s, value in burn.items()},
                "alert": _select_alert(burn),
            }
        )
    return rows


def _sum_window(counts, key, bucket_s, window_s, now):
    return counts.sum(key, bucket_s, int((now - window_s) // bucket_s), int(now // bucket_s))


def _burn_rate(good, bad, allowed_share):
    if good + bad == 0:
        return None
    return (bad / (good + bad)) / allowed_share


def _select_alert(burn):
    for short_s, long_s, threshold, alert in ALERTS:
        if (burn[short_s] or 0.0) >= threshold and (burn[long_s] or 0.0) >= threshold:
            return alert
    return ""


def _sort_key(key):
    objective, scope, name = key
    return _OBJECTIVE_ORDER.index(objective), SCOPES.index(scope), name
