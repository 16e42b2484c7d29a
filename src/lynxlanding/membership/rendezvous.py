"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

import xxhash


def choose(key, node_ids, count):
    """Return the nodes with the highest hashes for a key.

    Parameters
    ----------
    key : str
        Key that the node ids are hashed with.
    node_ids : iterable of str
        Ids of the candidates. Nodes with the same candidates choose the same nodes.
    count : int
        Maximum number of nodes to return.

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
