"""Counts requests whose prompts crash engines, and sound ones, as the users' rules do."""

import dataclasses

# Engines that have ended before nodes have to know the part.
CRASHES = 5
# The same for a request that comes again.
CRASHES_BY_REQUEST = 3
# Requests that are allowed to reach engines after that.
ALLOWED_AFTER = 3
# From this long after the crash on.
STABLE_S = 3.0
# Sound requests count from this long after the crash on.
SOUND_STABLE_S = 6.0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A request that an engine has begun, at ``at`` in monotonic seconds."""

    at: float
    request_id: str
    endpoint_id: str


def fifth_crash(crashes):
    """Return the time of the fifth crash, or None.

    Parameters
    ----------
    crashes : list of float
        Times of the ends of engines under requests with the part.
    """
    ordered = sorted(crashes)
    return ordered[CRASHES - 1] if len(ordered) >= CRASHES else None


def late_runs(runs, crashes):
    """Return the requests with the part that count: later than ``STABLE_S`` after the fifth crash.

    Parameters
    ----------
    runs : list of Run
        Requests with the part that engines have begun.
    crashes : list of float
        Times of the ends of engines under them.
    """
    fifth = fifth_crash(crashes)
    if fifth is None:
        return []
    return [run for run in runs if run.at > fifth + STABLE_S]


def sound_since(crashes):
    """Return the time from which on sound requests must be served as before."""
    ordered = sorted(crashes)
    return ordered[min(len(ordered), CRASHES) - 1] + SOUND_STABLE_S


def served_share(responses, since, until):
    """Return the share of the requests sent in a span that were served at the first attempt.

    Parameters
    ----------
    responses : list
        Items with ``sent_at`` and ``is_whole``.
    since, until : float
        Bounds of the span, monotonic seconds.
    """
    counted = [item for item in responses if since <= item.sent_at < until]
    if not counted:
        return None
    return sum(item.is_whole for item in counted) / len(counted)


def late_retries(runs, crashes):
    """Return the requests that count against one that crashes engines.

    Parameters
    ----------
    runs : list of Run
        The request and its retries, as engines have begun them.
    crashes : list of float
        Times of the ends of engines under them.
    """
    ordered = sorted(crashes)
    if len(ordered) < CRASHES_BY_REQUEST:
        return []
    return [run for run in runs if run.at > ordered[CRASHES_BY_REQUEST - 1] + STABLE_S]
