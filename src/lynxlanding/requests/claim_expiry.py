"""Chooses the expired claims that one node deletes."""

from lynxlanding.requests import claim_record

RETENTION_S = 24 * 3600.0


def select_expired(claims, members, node_id, now, retention_s=RETENTION_S):
    """Return the expired claims in the node's slice.

    Nodes that disagree on the members may both delete a claim, which is harmless, because a
    delete names the version; or neither may, which the next run makes up for.

    Parameters
    ----------
    claims : list of StoredObject
        All stored claims.
    members : iterable of str
        Ids of the live nodes.
    node_id : str
        This node.
    now : float
        Wall-clock time of this node, in seconds since the epoch.
    retention_s : float
        Age at which a claim expires, in seconds.

    Returns
    -------
    list of StoredObject
        Claims to delete.
    """
    ordered = sorted(set(members) | {node_id})
    own_slice = ordered.index(node_id)
    records = []
    newest = 0.0
    for item in claims:
        try:
            record = claim_record.decode(item.value)
        except ValueError:
            # A claim that cannot be decoded has no known age; it is left for an operator.
            continue
        newest = max(newest, record.created_at)
        records.append((item, record))
    # A clock that runs ahead by a day would delete live claims and so permit second executions.
    # Claims count as old only in comparison with a claim that some node wrote later.
    reference = min(now, newest)
    expired = []
    for item, record in records:
        if int(item.name[:8], 16) % len(ordered) != own_slice:
            continue
        if reference - record.created_at > retention_s:
            expired.append(item)
    return expired
