"""Object ``slo/{node}``: the counts of one node over its restarts.

Each incarnation of a node owns one part and always writes that part whole. A write that is
repeated after a lost answer, or that comes from a process that was paused and replaced, therefore
counts nothing twice.
"""

from lynxlanding.observability.burn import counts

KIND = "slo"
# Names of the nodes with counts, each with the day of its last registration. The store cannot list
# names without values, and the values of 410 nodes are 36 MB.
INDEX_KIND = "slo-index"
INDEX_NAME = "current"
DAY_S = 86_400
# Nodes that did not register for longer are outside every window.
KEPT_DAYS = 32
# Parts of earlier incarnations are added up after this time, so that the object stays small.
FOLD_AFTER_S = 86_400.0
MAX_FOLDED = 200


def empty(node):
    """Return the value of an object without counts."""
    return {"node": node, "parts": {}, "folded": [], "base": []}


def with_part(value, incarnation, own_counts, now):
    """Return the value with the part of one incarnation replaced.

    Parameters
    ----------
    value : dict
        Stored value.
    incarnation : str
        Incarnation that writes.
    own_counts : list
        All counts of this incarnation, from ``BurnCounts.to_document``.
    now : float
        Seconds since the epoch.

    Returns
    -------
    dict or None
        None if the part was folded, because this process was taken as gone for
        ``FOLD_AFTER_S``; it must go on as a new incarnation.
    """
    if incarnation in value["folded"]:
        return None
    base = counts.BurnCounts.from_document(value["base"])
    parts = {}
    folded = list(value["folded"])
    for name, part in value["parts"].items():
        if name == incarnation:
            continue
        if now - part["written_at"] > FOLD_AFTER_S:
            base.merge(counts.BurnCounts.from_document(part["counts"]))
            folded.append(name)
            continue
        parts[name] = part
    base.prune(now)
    parts[incarnation] = {"written_at": now, "counts": own_counts}
    return {
        "node": value["node"],
        "parts": parts,
        "folded": folded[-MAX_FOLDED:],
        "base": base.to_document(),
    }


def documents(value):
    """Return the counts of an object, one JSON value for each part."""
    return [value["base"], *(part["counts"] for part in value["parts"].values())]


def written_at(value):
    """Return the time of the last write, in seconds since the epoch; 0 without one."""
    return max((part["written_at"] for part in value["parts"].values()), default=0.0)


def with_registration(index, node, now):
    """Return the index with a node registered, and the names that left it.

    Parameters
    ----------
    index : dict of str to int
        Days of the last registration by node.
    node : str
        Node that registers.
    now : float
        Seconds since the epoch.
    """
    today = int(now // DAY_S)
    kept = {}
    expired = []
    for name, day in index.items():
        if day < today - KEPT_DAYS and name != node:
            expired.append(name)
            continue
        kept[name] = day
    kept[node] = today
    return kept, expired
