"""Stored object ``slo/{node}``: the counts of one node across its restarts.

Each incarnation of a node owns one part and always replaces that part as a whole. Nothing is
therefore counted twice when a write is repeated after a lost response, or when a process that was
paused and replaced writes again.
"""

from lynxlanding.observability.burn import counts

KIND = "slo"
# Index of the nodes with counts, each with the day of its last registration. The store cannot list
# names without values, and the values of 410 nodes take 36 MB.
INDEX_KIND = "slo-index"
INDEX_NAME = "current"
DAY_S = 86_400
# A node that last registered more days ago has no counts in any window.
RETENTION_DAYS = 32
# Parts that have not been written for this long are merged into ``base``, which keeps the object
# small.
MERGE_AFTER_S = 86_400.0
MAX_MERGED_INCARNATIONS = 200


def empty_value(node):
    """Return the stored value of a node without counts."""
    return {"node": node, "parts": {}, "folded": [], "base": []}


def with_part(value, incarnation, incarnation_counts, now):
    """Return a copy of the value in which the part of one incarnation is replaced.

    Parameters
    ----------
    value : dict
        Stored value.
    incarnation : str
        Incarnation that the part belongs to.
    incarnation_counts : list
        All counts of this incarnation, from ``BurnCounts.to_document``.
    now : float
        Seconds since the epoch.

    Returns
    -------
    dict or None
        None if the part was already merged into ``base`` because it was not written for
        ``MERGE_AFTER_S``; the process must then continue as a new incarnation.
    """
    if incarnation in value["folded"]:
        return None
    base = counts.BurnCounts.from_document(value["base"])
    parts = {}
    merged_incarnations = list(value["folded"])
    for name, part in value["parts"].items():
        if name == incarnation:
            continue
        if now - part["written_at"] > MERGE_AFTER_S:
            base.merge(counts.BurnCounts.from_document(part["counts"]))
            merged_incarnations.append(name)
            continue
        parts[name] = part
    base.prune(now)
    parts[incarnation] = {"written_at": now, "counts": incarnation_counts}
    return {
        "node": value["node"],
        "parts": parts,
        "folded": merged_incarnations[-MAX_MERGED_INCARNATIONS:],
        "base": base.to_document(),
    }


def all_counts(value):
    """Return the counts of ``base`` and of each part, one JSON value each."""
    return [value["base"], *(part["counts"] for part in value["parts"].values())]


def written_at(value):
    """Return the time of the last write, in seconds since the epoch; 0 without one."""
    return max((part["written_at"] for part in value["parts"].values()), default=0.0)


def with_registration(index, node, now):
    """Return a copy of the index with the node registered, and the names that expired.

    Parameters
    ----------
    index : dict of str to int
        Day of the last registration by node, in days since the epoch.
    node : str
        Node to register.
    now : float
        Seconds since the epoch.
    """
    today = int(now // DAY_S)
    retained = {}
    expired = []
    for name, day in index.items():
        if day < today - RETENTION_DAYS and name != node:
            expired.append(name)
            continue
        retained[name] = day
    retained[node] = today
    return retained, expired
