"""Compares callers of nodes that are cut from all endpoints with those of the others."""

# First tries count from this long after the cut began.
STABLE_S = 3.0
# Callers of nodes that are cut must be served this often, compared with the others.
MIN_SHARE = 2.0 / 3.0
# Failures at these nodes that are allowed: so many, and so large a part of all first tries.
ALLOWED_FAILURES = 10
ALLOWED_FAILED_PART = 1.0 / 50.0


def count_served(responses, nodes, since, until):
    """Return how many first tries at some nodes were served, and how many there were."""
    counted = [item for item in responses if item.node in nodes and since <= item.sent_at < until]
    return sum(item.is_whole for item in counted), len(counted)


def is_broken(cut, others):
    """Return whether callers of nodes that are cut were served too rarely.

    Parameters
    ----------
    cut, others : (int, int)
        Served requests and requests, at nodes that are cut and at the others.
    """
    served, count = cut
    other_served, other_count = others
    failed = count - served
    is_excess = failed > ALLOWED_FAILURES + ALLOWED_FAILED_PART * (count + other_count)
    if not count or not other_count:
        return is_excess
    return is_excess and served / count < MIN_SHARE * other_served / other_count
