"""Hashes by which digests name nodes.

They are short, since a digest names some eighty nodes. The table of peers detects nodes with the
same hash; these report to all others.
"""

import xxhash

# Incarnations are told apart by this many values.
_TAGS = 1 << 8


def hash_node_id(node_id):
    """Return the hash that identifies a node in digests."""
    return xxhash.xxh32_intdigest(node_id)


def tag_incarnation(incarnation):
    """Return a short number by which the incarnations of one node differ."""
    return xxhash.xxh64_intdigest(incarnation.to_bytes(8, "little")) % _TAGS
