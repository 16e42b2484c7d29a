"""Selects the expired claims that a node deletes."""

from lynxlanding.requests import claim_record

RETENTION_S = 24 * 3600.0


def select_expired(claims, members, node_id, now, retention_s=RETENTION_S):
    """Return the expired claims that this node has to delete.

    The claims are divided among the nodes by their names. If the nodes disagree on the members,
    two nodes may delete the same claim, which is harmless because a delete names the version, or
    no node deletes it before a later run.

    Parameters
    ----------
    claims : list of StoredObject
        All stored claims.
    members : iterable of str
        Ids of the member nodes.
    node_id : str
        Id of this node.
    now : float
        Wall-clock time of this node, in seconds since the epoch.
    retention_s : float
        Age at which a claim expires, in seconds.

    Returns
    -------
    list of StoredObject
        Claims to delete.
    """
    sorted_members = sorted(set(members) | {node_id})
    slice_index = sorted_members.index(node_id)
    records = []
    newest = 0.0
    for item in claims:
        try:
            record = claim_record.decode(item.value)
        except ValueError:
            # The age of a claim that cannot be decoded is unknown, so an operator has to delete it.
            continue
        newest = max(newest, record.created_at)
        records.append((item, record))
    # A clock that is a day fast would delete claims that are still needed, and their requests could
    # be executed again. The age is therefore limited to that relative to the newest claim.
    reference_time = min(now, newest)
    expired = []
    for item, record in records:
        if int(item.name[:8], 16) % len(sorted_members) != slice_index:
            continue
        if reference_time - record.created_at > retention_s:
            expired.append(item)
    return expired
