"""Counts requests at cold engines, as the users' rule does."""

WINDOW_S = 1.0
# The sum may exceed the rate by this factor, and by this number of requests.
FACTOR = 1.5
SLACK = 5
# Nodes read within this time that a running engine has become cold. Before, the rule does not hold.
TOLD_S = 1.0


def allowed_requests(cold_per_s):
    """Return how many requests a cold engine may get in ``WINDOW_S``."""
    return FACTOR * cold_per_s * WINDOW_S + SLACK


def worst_windows(arrivals, cold_since=None):
    """Return the highest number of requests in any window, by endpoint id.

    Parameters
    ----------
    arrivals : iterable of (str, float)
        Endpoint id and time of each request at a cold engine.
    cold_since : dict of str to list of float, optional
        When engines became cold without a new start; what they get within ``TOLD_S`` is left out.
    """
    times_by_endpoint = {}
    for endpoint_id, at in arrivals:
        since = (cold_since or {}).get(endpoint_id, ())
        if not any(began_at <= at < began_at + TOLD_S for began_at in since):
            times_by_endpoint.setdefault(endpoint_id, []).append(at)
    worst = {}
    for endpoint_id, times in times_by_endpoint.items():
        times.sort()
        start = 0
        worst[endpoint_id] = 0
        for index, at in enumerate(times):
            while times[start] <= at - WINDOW_S:
                start += 1
            worst[endpoint_id] = max(worst[endpoint_id], index - start + 1)
    return worst
