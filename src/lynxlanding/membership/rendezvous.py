"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

import xxhash


def choose(key, node_ids, count):
    """Return the nodes with the highest hash for a key.

    Parameters
    ----------
    key : str
        What the nodes are chosen for.
    node_ids : iterable of str
        Candidates; all nodes that see the same candidates choose the same ones.
    count : int
        Number of nodes to choose.

    Returns
    -------
    list of str
        At most ``count`` nodes, highest hash first.
    """
    ranked = sorted(
        node_ids,
        key=lambda node_id: (xxhash.xxh64_intdigest(f"{key}\0{node_id}"), node_id),
        reverse=True,
    )
    return ranked[:count]
